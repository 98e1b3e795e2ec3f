/** @file
 * Announcements of the fake server to control hosts.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_ANNOUNCE_H
#define LAURELLIFT_TEST_FAKES_FAKE_ANNOUNCE_H

#include <event2/util.h>

#include "fake_server.h"

/** Event callback that announces the server (@p arg) and schedules the next
 * announcement. */
void FakeAnnounce_OnTimer(evutil_socket_t fd, short events, void *arg);

/** Deregisters the start before this one. */
void FakeAnnounce_DeregisterPrevious(Server *server, const char *id,
                                     int start);

#endif
