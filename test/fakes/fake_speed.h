/** @file
 * Current speed of the fake server, as a file states it.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_SPEED_H
#define LAURELLIFT_TEST_FAKES_FAKE_SPEED_H

#include <event2/buffer.h>

#include "fake_server.h"

/** Writes the load, with the content of the server's speed file as its fourth
 * figure, whatever it is. Writes three figures if the file is empty, and
 * nothing without a file. */
void FakeSpeed_Write(struct evbuffer *out, const Server *server);

/** Returns the time of an answer at the current speed: at 250, 2.5 times
 * @p usual_ms. */
int FakeSpeed_DelayMs(const Server *server, int usual_ms);

/** Counts a request that begins or ends.
 * @param counted  whether it is counted; set to @p running. */
void FakeSpeed_SetRunning(Server *server, bool *counted, bool running);

#endif
