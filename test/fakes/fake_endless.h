/** @file
 * Answers of the fake server that never end, until the caller closes.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_ENDLESS_H
#define LAURELLIFT_TEST_FAKES_FAKE_ENDLESS_H

#include <stdbool.h>

#include <event2/bufferevent.h>

/** Takes the connection over and writes without end until it is closed.
 * @param fault  names where: `endless-head` bytes that are no answer,
 * `endless-fields` a head, `endless-interim` interim answers, `endless-body` a
 * body without length, `endless-chunk` the size of a chunk, `endless-refusal`
 * the body of an answer which says that the request was not run.
 * @param id  of the request.
 * @return false for any other fault. */
bool FakeEndless_TakeOver(struct bufferevent *connection, const char *fault,
                          const char *id);

#endif
