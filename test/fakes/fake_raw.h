/** @file
 * Answers of the fake server that are read from a file, byte for byte.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_RAW_H
#define LAURELLIFT_TEST_FAKES_FAKE_RAW_H

#include <stdbool.h>

#include <event2/bufferevent.h>

/** Writes the bytes of a file as the answer to a request. `{id}` in it stands
 * for the id of the request.
 * @param path  NULL or a missing file: no answer is written.
 * @param reset  resets the connection when it is closed.
 * @return false if no answer was written. */
bool FakeRaw_Write(struct bufferevent *connection, const char *path,
                   const char *id, bool reset);

#endif
