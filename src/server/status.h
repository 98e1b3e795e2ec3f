/** @file
 * Status codes of HTTP.
 */
#ifndef LAURELLIFT_SERVER_STATUS_H
#define LAURELLIFT_SERVER_STATUS_H

/** Returns the reason phrase of a status code (RFC 9110, section 15). */
const char *HttpStatus_Phrase(unsigned status);

#endif
