/** @file
 * Limits and rests that the fake server names in its answers.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_LIMIT_H
#define LAURELLIFT_TEST_FAKES_FAKE_LIMIT_H

#include <event2/buffer.h>

/** Writes a field for each line of the file, which a scripted run may change
 * at any time. @param path  NULL, or absent, for no limit. */
void FakeLimit_Write(struct evbuffer *out, const char *path);

/** Returns the content of the file, to be freed; NULL if it is empty or
 * absent. */
char *FakeLimit_ReadRest(const char *path);

#endif
