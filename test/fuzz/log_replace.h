/** @file
 * Replacements of members of a simulated cluster, while one disk at a time may
 * be lost at any step.
 */
#ifndef LAURELLIFT_TEST_FUZZ_LOG_REPLACE_H
#define LAURELLIFT_TEST_FUZZ_LOG_REPLACE_H

#include "fuzz.h"
#include "log_net.h"

/** Replaces members of a cluster of three voters with automatic membership,
 * planned or not, and injects losses that the cluster must bear. At most one
 * host counts as lost at any moment: one that lost its disk until it has been
 * back for the catch-up time, one that was removed until its successor has run
 * for that time. All processes may be killed at any moment. Checks that the
 * cluster commits entries at the end, and that no removed host has kept its
 * vote. */
void LogReplace_Run(Net *net, FuzzInput *input);

#endif
