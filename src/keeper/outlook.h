/** @file
 * Outlook of the engine on the wire.
 */
#ifndef LAURELLIFT_KEEPER_OUTLOOK_H
#define LAURELLIFT_KEEPER_OUTLOOK_H

#include "sched/queue.h"
#include "wire/link.h"

/** Numbers in the waits of one class. */
#define OUTLOOK_CLASS_NUMBERS 5

/** A message with its storage. */
typedef struct OutlookMessage {
    Wire__EngineOutlook message;
    uint32_t waits[OUTLOOK_WAITS * OUTLOOK_CLASS_NUMBERS];
    uint64_t accounts[OUTLOOK_ACCOUNTS_MAX];
} OutlookMessage;

/** Fills @p out with the queue's outlook. Must not be moved afterwards. */
void Outlook_Fill(OutlookMessage *out, const WantQueue *queue, TimeUs now);

#endif
