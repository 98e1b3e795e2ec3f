/** @file
 * Kernel: tasks with mailboxes, their event loops and the planned stop.
 *
 * A task owns its sockets and its state. It runs on the main loop or on its
 * own thread, and only that thread accesses its state. Tasks communicate by
 * messages, which are delivered in the order in which they were posted.
 */
#ifndef LAURELLIFT_KERNEL_TASK_H
#define LAURELLIFT_KERNEL_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <jansson.h>

#include "kernel/error.h"

typedef struct Kernel Kernel;

/** Handle of a task. */
typedef struct TaskHandle {
    uint32_t index; /**< Index in the kernel's table; 0 for no task. */
} TaskHandle;

#define TASK_NONE ((TaskHandle){.index = 0})

/** Lowest message type of each package. The types of a package are numbered
 * from this value on. */
enum {
    MSG_BASE_KERNEL = 0x000,
    MSG_BASE_STORE = 0x100,
    MSG_BASE_CONTROL = 0x200,
    MSG_BASE_ENTRY = 0x300,
    MSG_BASE_AGENT = 0x400,
};

/** Message to a task. The kernel frees the body after delivery. */
typedef struct Message {
    uint32_t type;             /**< Determines the type of the body. */
    TaskHandle from;           /**< Sender, to which replies are posted. */
    void *body;                /**< Owned by the message. */
    void (*free_body)(void *); /**< NULL if the body must not be freed. */
} Message;

/** Callbacks of a task. All but receive may be NULL. */
typedef struct TaskOps {
    /** Opens sockets and timers. On an error the process stops. */
    int (*start)(TaskHandle self, void *state, Error *err);
    /** Handles one message. */
    void (*receive)(TaskHandle self, void *state, const Message *message);
    /** Begins a planned stop: the task finishes its running work and then
     * calls Task_ReportDrained. */
    void (*drain)(TaskHandle self, void *state);
    /** Closes all sockets and timers and frees the state. */
    void (*stop)(TaskHandle self, void *state);
    /** Adds the task's state to a dump. Called only for tasks on the main
     * loop. */
    void (*dump)(TaskHandle self, void *state, json_t *out);
} TaskOps;

/** Parameters of Kernel_AddTask. */
typedef struct TaskSpec {
    const char *name; /**< Unique in the process; must outlive the kernel. */
    const TaskOps *ops;
    void *state;
    bool own_thread; /**< Run on its own thread and event loop. */
} TaskSpec;

/** Creates the kernel. A process has at most one at a time. */
Kernel *Kernel_New(void);

/** Adds a task. Must be called before Kernel_Run, which starts the tasks in
 * the order in which they were added. */
TaskHandle Kernel_AddTask(Kernel *kernel, const TaskSpec *spec);

/** Starts the tasks and runs the main loop until a planned stop is complete.
 * SIGTERM and SIGINT begin a planned stop; SIGUSR1 prints the state dump on
 * standard error.
 * @param stop_limit_ms  time limit of a planned stop.
 * @return ERR_OK after a planned stop, or the error of a task that failed to
 *         start. */
int Kernel_Run(Kernel *kernel, int stop_limit_ms, Error *err);

/** Sets the function that is called on SIGHUP. Must be called before
 * Kernel_Run. Without a function, SIGHUP terminates the process. */
void Kernel_SetReload(Kernel *kernel, void (*reload)(void *arg), void *arg);

/** Begins a planned stop. Main loop only. */
void Kernel_Stop(Kernel *kernel);

/** Returns true once a planned stop has begun. */
bool Kernel_IsStopping(const Kernel *kernel);

void Kernel_Free(Kernel *kernel);

/** Returns the state of all tasks on the main loop, by task name. The caller
 * owns the result. */
json_t *Kernel_Dump(Kernel *kernel);

/** Returns the kernel of this process, or NULL. */
Kernel *Kernel_Current(void);

/** Returns the task with this name, or TASK_NONE. */
TaskHandle Task_Find(const char *name);

/** Returns the event loop that runs the task. */
struct event_base *Task_Base(TaskHandle task);

/** Posts a message to a task. May be called on any thread. The body is freed
 * even if the task does not exist.
 * @return ERR_OK, or ERR_NOT_FOUND if the task does not exist. */
int Task_Post(TaskHandle to, const Message *message);

/** Reports that the task has finished its part of a planned stop. */
void Task_ReportDrained(TaskHandle self);

#endif
