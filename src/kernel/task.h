/** @file
 * Micro-kernel: tasks with mailboxes, a registry of names, the event loops
 * and a graceful stop.
 *
 * A task owns its sockets and its state. It runs on the main loop or on a
 * thread of its own; only its thread touches its state. Tasks talk by
 * messages, which are delivered in the order they were posted.
 */
#ifndef LAURELLIFT_KERNEL_TASK_H
#define LAURELLIFT_KERNEL_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <jansson.h>

#include "kernel/error.h"

typedef struct Kernel Kernel;

/** Handle of a task in the kernel's table. */
typedef struct TaskHandle {
    uint32_t index; /**< 0 is no task. */
} TaskHandle;

#define TASK_NONE ((TaskHandle){.index = 0})

/** First message type of each package; a package numbers its own from it. */
enum {
    MSG_BASE_KERNEL = 0x000,
    MSG_BASE_STORE = 0x100,
    MSG_BASE_CONTROL = 0x200,
    MSG_BASE_ENTRY = 0x300,
    MSG_BASE_AGENT = 0x400,
};

/** A typed message. The kernel frees the body after delivery. */
typedef struct Message {
    uint32_t type;             /**< Names the type of the body. */
    TaskHandle from;           /**< The sender, for replies. */
    void *body;                /**< Owned by the message. */
    void (*free_body)(void *); /**< NULL: nothing to free. */
} Message;

/** What a task does. Every function but receive may be NULL. */
typedef struct TaskOps {
    /** Opens sockets and timers. A negative result stops the process. */
    int (*start)(TaskHandle self, void *state, Error *err);
    /** Handles one message. */
    void (*receive)(TaskHandle self, void *state, const Message *message);
    /** A planned stop begins: finish what runs, then Task_ReportDrained. */
    void (*drain)(TaskHandle self, void *state);
    /** Closes everything and frees the state. */
    void (*stop)(TaskHandle self, void *state);
    /** Adds the task's state to a dump. Main-loop tasks only. */
    void (*dump)(TaskHandle self, void *state, json_t *out);
} TaskOps;

/** Describes a task to Kernel_AddTask. */
typedef struct TaskSpec {
    const char *name; /**< Unique in the process; static storage. */
    const TaskOps *ops;
    void *state;
    bool own_thread; /**< Runs beside the main loop, on its own loop. */
} TaskSpec;

Kernel *Kernel_New(void);

/** Adds a task before Kernel_Run; tasks start in the order of adding. */
TaskHandle Kernel_AddTask(Kernel *kernel, const TaskSpec *spec);

/** Starts the tasks and runs until a stop has ended. SIGTERM and SIGINT
 * begin a planned stop, SIGUSR1 logs the state dump.
 * @param stop_limit_ms  longest time a planned stop may take.
 * @return ERR_OK after a stop, or the error of a task that did not start. */
int Kernel_Run(Kernel *kernel, int stop_limit_ms, Error *err);

/** Calls @p reload on SIGHUP. Before Kernel_Run; without it the signal ends
 * the process. */
void Kernel_SetReload(Kernel *kernel, void (*reload)(void *arg), void *arg);

/** Begins a planned stop. Main loop only. */
void Kernel_Stop(Kernel *kernel);

/** True from the moment a planned stop began. */
bool Kernel_IsStopping(const Kernel *kernel);

void Kernel_Free(Kernel *kernel);

/** State of every main-loop task by name. The caller owns the result. */
json_t *Kernel_Dump(Kernel *kernel);

/** The kernel that runs in this process. */
Kernel *Kernel_Current(void);

/** The task of this name, or TASK_NONE. */
TaskHandle Task_Find(const char *name);

/** The event loop that runs the task. */
struct event_base *Task_Base(TaskHandle task);

/** Posts a message; safe from any thread. The body is freed even when the
 * task is gone.
 * @return ERR_OK, or ERR_NOT_FOUND for no such task. */
int Task_Post(TaskHandle to, const Message *message);

/** Reports that the task has finished its part of a planned stop. */
void Task_ReportDrained(TaskHandle self);

#endif
