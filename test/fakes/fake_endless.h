/** @file
 * Answers of the fake server that never end, until the caller closes.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_ENDLESS_H
#define LAURELLIFT_TEST_FAKES_FAKE_ENDLESS_H

#include <stdbool.h>

#include <event2/bufferevent.h>

/** Takes the connection over and writes without end until it is closed.
 * @param fault  names where: `endless-head` bytes that are no answer,
 * `endless-line` one line of them, `endless-lines` lines, `endless-status` a
 * status line, `endless-field` one field, `endless-slow` one field at a byte
 * each millisecond, `endless-folded` a folded field, `endless-fields` a head,
 * `endless-interim` interim answers, `endless-interim-fields` the head of one,
 * `endless-body` a body without length, `endless-announced` one of 100 GB,
 * `endless-chunk` the size of a chunk, `endless-extension` its extension,
 * `endless-bytes` chunks of one byte, `endless-trailer` a trailer,
 * `endless-refusal` the body of an answer which says that the request was not
 * run, `endless-refusal-fields` its head, `endless-after` bytes after a whole
 * answer. `endless-each` is the one that the last part of @p target names, or
 * the next one in this list.
 * @param id  of the request.
 * @return false for any other fault. */
bool FakeEndless_TakeOver(struct bufferevent *connection, const char *fault,
                          const char *target, const char *id);

#endif
