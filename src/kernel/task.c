/** @file
 * Kernel: the table of tasks, their mailboxes and the planned stop.
 */
#include "kernel/task.h"

#include <signal.h>
#include <stdatomic.h>
#include <string.h>

#include <event2/thread.h>
#include <glib.h>

#include "kernel/clock.h"
#include "kernel/log.h"

#define PART "kernel"
#define TASKS_MAX 32
#define SIGNALS_MAX 4

typedef struct Task {
    TaskSpec spec;
    struct event_base *base;
    struct event *wake; /* activated when a message is posted */
    GAsyncQueue *mailbox;
    GThread *thread; /* NULL for main-loop tasks */
    bool started;
    atomic_bool drained;
} Task;

struct Kernel {
    Task tasks[TASKS_MAX]; /* index 0 is unused, as it means no task */
    uint32_t count;
    struct event_base *base;
    struct event *signals[SIGNALS_MAX];
    void (*reload)(void *arg); /* called on SIGHUP, or NULL */
    void *reload_arg;
    struct event *drain_poll;
    TimeUs stop_deadline;
    int stop_limit_ms;
    bool stopping;
};

#define DRAIN_POLL_MS 20

static Kernel *current;

static Task *
find_task(TaskHandle handle)
{
    if (current == NULL || handle.index == 0 || handle.index > current->count)
    {
        return NULL;
    }
    return &current->tasks[handle.index];
}

static TaskHandle
task_handle(const Kernel *kernel, const Task *task)
{
    return (TaskHandle){.index = (uint32_t)(task - kernel->tasks)};
}

static void
free_message(Message *message)
{
    if (message->free_body != NULL) {
        message->free_body(message->body);
    }
    g_free(message);
}

static void
on_wake(evutil_socket_t fd, short events, void *arg)
{
    Task *task = arg;
    TaskHandle self = task_handle(current, task);
    Message *message;
    while ((message = g_async_queue_try_pop(task->mailbox)) != NULL) {
        task->spec.ops->receive(self, task->spec.state, message);
        free_message(message);
    }
}

Kernel *
Kernel_New(void)
{
    INVARIANT(current == NULL);
    evthread_use_pthreads();
    Kernel *kernel = g_new0(Kernel, 1);
    kernel->base = event_base_new();
    INVARIANT(kernel->base != NULL);
    current = kernel;
    return kernel;
}

Kernel *
Kernel_Current(void)
{
    return current;
}

TaskHandle
Kernel_AddTask(Kernel *kernel, const TaskSpec *spec)
{
    INVARIANT(kernel->count + 1 < TASKS_MAX);
    Task *task = &kernel->tasks[++kernel->count];
    task->spec = *spec;
    task->base = spec->own_thread ? event_base_new() : kernel->base;
    task->mailbox = g_async_queue_new();
    task->wake = event_new(task->base, -1, EV_PERSIST, on_wake, task);
    event_add(task->wake, NULL);
    return task_handle(kernel, task);
}

TaskHandle
Task_Find(const char *name)
{
    for (uint32_t i = 1; current != NULL && i <= current->count; i++) {
        if (strcmp(current->tasks[i].spec.name, name) == 0) {
            return (TaskHandle){.index = i};
        }
    }
    return TASK_NONE;
}

struct event_base *
Task_Base(TaskHandle handle)
{
    Task *task = find_task(handle);
    INVARIANT(task != NULL);
    return task->base;
}

int
Task_Post(TaskHandle to, const Message *message)
{
    Message *copy = g_new(Message, 1);
    *copy = *message;
    Task *task = find_task(to);
    if (task == NULL) {
        free_message(copy);
        return ERR_NOT_FOUND;
    }
    g_async_queue_push(task->mailbox, copy);
    event_active(task->wake, EV_TIMEOUT, 0);
    return ERR_OK;
}

void
Task_ReportDrained(TaskHandle self)
{
    Task *task = find_task(self);
    INVARIANT(task != NULL);
    atomic_store(&task->drained, true);
}

static gpointer
run_thread(gpointer arg)
{
    Task *task = arg;
    event_base_loop(task->base, EVLOOP_NO_EXIT_ON_EMPTY);
    return NULL;
}

static int
start_task(Kernel *kernel, Task *task, Error *err)
{
    TaskHandle self = task_handle(kernel, task);
    const TaskOps *ops = task->spec.ops;
    int result = ERR_OK;
    if (ops->start != NULL) {
        result = ops->start(self, task->spec.state, err);
    }
    if (result != ERR_OK) {
        return result;
    }
    task->started = true;
    if (task->spec.own_thread) {
        task->thread = g_thread_new(task->spec.name, run_thread, task);
    }
    return ERR_OK;
}

static void
stop_task(Kernel *kernel, Task *task)
{
    if (task->thread != NULL) {
        event_base_loopbreak(task->base);
        g_thread_join(task->thread);
        on_wake(-1, 0, task);
    }
    if (task->started && task->spec.ops->stop != NULL) {
        task->spec.ops->stop(task_handle(kernel, task), task->spec.state);
    }
    task->started = false;
}

static bool
all_drained(const Kernel *kernel)
{
    for (uint32_t i = 1; i <= kernel->count; i++) {
        if (!atomic_load(&kernel->tasks[i].drained)) {
            return false;
        }
    }
    return true;
}

static void
on_drain_poll(evutil_socket_t fd, short events, void *arg)
{
    Kernel *kernel = arg;
    bool done = all_drained(kernel);
    if (!done && Clock_Now() < kernel->stop_deadline) {
        return;
    }
    LOG_INFO(PART, "Stopped. drained=%s", done ? "yes" : "no");
    event_base_loopbreak(kernel->base);
}

static void
begin_drain(Kernel *kernel, Task *task)
{
    if (task->spec.ops->drain == NULL) {
        atomic_store(&task->drained, true);
        return;
    }
    task->spec.ops->drain(task_handle(kernel, task), task->spec.state);
}

void
Kernel_Stop(Kernel *kernel)
{
    if (kernel->stopping) {
        return;
    }
    LOG_INFO(PART, "Planned stop begins. limit_ms=%d", kernel->stop_limit_ms);
    kernel->stopping = true;
    kernel->stop_deadline = Clock_Now() + kernel->stop_limit_ms * US_PER_MS;
    for (uint32_t i = 1; i <= kernel->count; i++) {
        begin_drain(kernel, &kernel->tasks[i]);
    }
    struct timeval period = {.tv_usec = DRAIN_POLL_MS * US_PER_MS};
    event_add(kernel->drain_poll, &period);
}

bool
Kernel_IsStopping(const Kernel *kernel)
{
    return kernel->stopping;
}

static void
on_stop_signal(evutil_socket_t fd, short events, void *arg)
{
    Kernel_Stop(arg);
}

static void
on_dump_signal(evutil_socket_t fd, short events, void *arg)
{
    json_t *dump = Kernel_Dump(arg);
    json_dumpf(dump, stderr, JSON_INDENT(2) | JSON_SORT_KEYS);
    fputc('\n', stderr);
    json_decref(dump);
}

static void
on_reload_signal(evutil_socket_t fd, short events, void *arg)
{
    Kernel *kernel = arg;
    kernel->reload(kernel->reload_arg);
}

void
Kernel_SetReload(Kernel *kernel, void (*reload)(void *arg), void *arg)
{
    kernel->reload = reload;
    kernel->reload_arg = arg;
}

static void
add_signals(Kernel *kernel)
{
    struct event_base *base = kernel->base;
    kernel->signals[0] = evsignal_new(base, SIGTERM, on_stop_signal, kernel);
    kernel->signals[1] = evsignal_new(base, SIGINT, on_stop_signal, kernel);
    kernel->signals[2] = evsignal_new(base, SIGUSR1, on_dump_signal, kernel);
    if (kernel->reload != NULL) {
        kernel->signals[3] =
            evsignal_new(base, SIGHUP, on_reload_signal, kernel);
    }
    for (int i = 0; i < SIGNALS_MAX && kernel->signals[i] != NULL; i++) {
        event_add(kernel->signals[i], NULL);
    }
    kernel->drain_poll =
        event_new(base, -1, EV_PERSIST, on_drain_poll, kernel);
    signal(SIGPIPE, SIG_IGN);
}

int
Kernel_Run(Kernel *kernel, int stop_limit_ms, Error *err)
{
    kernel->stop_limit_ms = stop_limit_ms;
    add_signals(kernel);
    int result = ERR_OK;
    for (uint32_t i = 1; i <= kernel->count && result == ERR_OK; i++) {
        result = start_task(kernel, &kernel->tasks[i], err);
    }
    if (result == ERR_OK) {
        event_base_loop(kernel->base, EVLOOP_NO_EXIT_ON_EMPTY);
    }
    for (uint32_t i = kernel->count; i >= 1; i--) {
        stop_task(kernel, &kernel->tasks[i]);
    }
    return result;
}

json_t *
Kernel_Dump(Kernel *kernel)
{
    json_t *dump = json_object();
    for (uint32_t i = 1; i <= kernel->count; i++) {
        Task *task = &kernel->tasks[i];
        if (task->spec.own_thread || task->spec.ops->dump == NULL) {
            continue;
        }
        json_t *part = json_object();
        task->spec.ops->dump(task_handle(kernel, task), task->spec.state,
                             part);
        json_object_set_new(dump, task->spec.name, part);
    }
    return dump;
}

static void
free_task(Task *task)
{
    Message *message;
    while ((message = g_async_queue_try_pop(task->mailbox)) != NULL) {
        free_message(message);
    }
    g_async_queue_unref(task->mailbox);
    event_free(task->wake);
    if (task->spec.own_thread) {
        event_base_free(task->base);
    }
}

void
Kernel_Free(Kernel *kernel)
{
    for (uint32_t i = 1; i <= kernel->count; i++) {
        free_task(&kernel->tasks[i]);
    }
    for (int i = 0; i < SIGNALS_MAX && kernel->signals[i] != NULL; i++) {
        event_free(kernel->signals[i]);
    }
    if (kernel->drain_poll != NULL) {
        event_free(kernel->drain_poll);
    }
    event_base_free(kernel->base);
    g_free(kernel);
    current = NULL;
}
