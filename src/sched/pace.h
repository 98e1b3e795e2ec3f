/** @file
 * Current speed of servers that share their machines with others. A server
 * reports a figure that states how long work takes on it now (100 is the usual
 * time). Meant for servers that are slower for a part of a second at a time,
 * and for senders whose reports of one server are often older than that. A
 * figure is valid for the holding time, which is measured from the reports:
 * after it, the expectation returns to the server's usual figure and the mean
 * excess of all servers. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_PACE_H
#define LAURELLIFT_SCHED_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Figure of a server at its usual speed, and the range of valid figures. */
#define PACE_USUAL 100
#define PACE_MIN 10
#define PACE_MAX 10000
/** Number of holding times that are compared. */
#define PACE_HOLDING_TIMES 10

/** A figure and when it was received. */
typedef struct PaceReport {
    double figure; /**< 0: none was received. */
    TimeUs received_at;
} PaceReport;

/** What all servers of a service have in common. The excess of a figure is the
 * figure divided by the usual one of its server, less 1. Empty when
 * zero-initialised. */
typedef struct PaceService {
    /** Moving sums of squared errors of the excess, by holding time. */
    double errors[PACE_HOLDING_TIMES];
    unsigned pairs;     /**< Pairs of reports in the sums. */
    double excess;      /**< Moving mean of the excess. */
    double slow_excess; /**< Moving mean of the excess of slow servers; 0
                             before a slow one has reported. */
    double work_ms;     /**< Moving mean run time at the usual speed. */
    unsigned runs;      /**< Runs in work_ms. */
    double answer_ms;   /**< Moving mean time of a question; 0: none yet. */
} PaceService;

/** One server. Empty when zero-initialised. */
typedef struct Pace {
    PaceReport report; /**< The newest one. */
    double usual;      /**< Figure while it is not slow. */
    double work_ms;    /**< Moving mean run time at the usual speed. */
    unsigned runs;     /**< Runs in work_ms. */
} Pace;

/** Parses a figure, a decimal number.
 * @return 0 if it is not a number from PACE_MIN to PACE_MAX. */
double Pace_Parse(const char *text);

/** Applies a valid figure of the server. */
void Pace_OnReport(Pace *pace, PaceService *service, double figure,
                   TimeUs now);

/** Applies the measured time of a run that ended now. */
void Pace_OnRun(Pace *pace, PaceService *service, double run_ms, TimeUs now);

/** Applies the time from a question for the figure to its answer. */
void Pace_OnAsked(PaceService *service, double answer_ms);

/** Returns whether the server has reported a figure. */
bool Pace_IsKnown(const Pace *pace);

/** Returns the holding time: that which has predicted the last reports best,
 * or a default while there are few. */
TimeUs Pace_HoldingTime(const PaceService *service);

/** Returns the figure that is expected now. */
double Pace_Expected(const Pace *pace, const PaceService *service, TimeUs now);

/** Returns the expected figure divided by the mean that is expected over a
 * long time, for run times that are means of such a time; 1 if no figure is
 * known.
 */
double Pace_Factor(const Pace *pace, const PaceService *service, TimeUs now);

/** Returns the expected time of a run that starts now, in milliseconds; 0 if
 * it is unknown. */
double Pace_RunMs(const Pace *pace, const PaceService *service, TimeUs now);

/** Returns an additional cost in milliseconds that differs between senders and
 * servers, so that senders with the same reports do not all choose the same
 * server. @param hash  of the sender and the server. */
double Pace_SpreadMs(uint64_t hash);

/** One server that a request may be sent to. */
typedef struct PaceOption {
    const Pace *pace; /**< NULL: it cannot be asked. */
    double run_ms;    /**< Expected run time. */
    double other_ms;  /**< All other costs. */
} PaceOption;

/** Returns the index of the server that is worth a question for its figure
 * before the request is sent, or -1 if none is. A question is worthwhile if
 * the run time that its answer is expected to save exceeds the time that it
 * takes and its price. */
int Pace_ChooseQuestion(const PaceOption *options, size_t count,
                        const PaceService *service, TimeUs now);

#endif
