/** @file
 * Kernel: order of messages, task names, tasks on their own thread and the
 * planned stop.
 */
#include "unit.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "kernel/task.h"

enum {
    MSG_NUMBER = 1,
    MSG_ECHO = 2,
};

#define MESSAGES 1000

typedef struct SenderState {
    int received;
    bool in_order;
    bool drained;
    bool stopped;
} SenderState;

static void
post_number(TaskHandle to, TaskHandle from, uint32_t type, int number)
{
    int *body = g_new(int, 1);
    *body = number;
    Task_Post(to, &(Message){
                      .type = type,
                      .from = from,
                      .body = body,
                      .free_body = g_free,
                  });
}

/* Posts numbers to the echo task, whose replies receive_echo counts. */
static int
start_sender(TaskHandle self, void *state, Error *err)
{
    for (int i = 0; i < MESSAGES; i++) {
        post_number(Task_Find("echo"), self, MSG_NUMBER, i);
    }
    return ERR_OK;
}

static void
receive_echo(TaskHandle self, void *state, const Message *message)
{
    SenderState *sender = state;
    const int *number = message->body;
    sender->in_order &= *number == sender->received;
    sender->received++;
    if (sender->received == MESSAGES) {
        Kernel_Stop(Kernel_Current());
    }
}

static void
drain_sender(TaskHandle self, void *state)
{
    ((SenderState *)state)->drained = true;
    Task_ReportDrained(self);
}

static void
stop_sender(TaskHandle self, void *state)
{
    ((SenderState *)state)->stopped = true;
}

static void
send_back(TaskHandle self, void *state, const Message *message)
{
    const int *number = message->body;
    post_number(message->from, self, MSG_ECHO, *number);
}

static int
fail_to_start(TaskHandle self, void *state, Error *err)
{
    return Error_Set(err, ERR_IO, "No port.");
}

static const TaskOps sender_ops = {
    .start = start_sender,
    .receive = receive_echo,
    .drain = drain_sender,
    .stop = stop_sender,
};
static const TaskOps echo_ops = {.receive = send_back};
static const TaskOps failing_ops = {
    .start = fail_to_start,
    .receive = send_back,
};

static void
run_echo(bool own_thread)
{
    SenderState sender = {.in_order = true};
    Kernel *kernel = Kernel_New();
    Kernel_AddTask(kernel, &(TaskSpec){
                               .name = "echo",
                               .ops = &echo_ops,
                               .own_thread = own_thread,
                           });
    Kernel_AddTask(kernel, &(TaskSpec){
                               .name = "sender",
                               .ops = &sender_ops,
                               .state = &sender,
                           });
    Error err = ERROR_INIT;
    assert_int_equal(Kernel_Run(kernel, 1000, &err), ERR_OK);
    assert_int_equal(sender.received, MESSAGES);
    assert_true(sender.in_order);
    assert_true(sender.drained);
    assert_true(sender.stopped);
    Kernel_Free(kernel);
}

static void
messages_keep_their_order(void **state)
{
    run_echo(false);
}

static void
messages_cross_threads_in_order(void **state)
{
    run_echo(true);
}

static void
task_that_cannot_start_stops_the_kernel(void **state)
{
    Kernel *kernel = Kernel_New();
    Kernel_AddTask(kernel,
                   &(TaskSpec){.name = "failing", .ops = &failing_ops});
    Error err = ERROR_INIT;
    assert_int_equal(Kernel_Run(kernel, 1000, &err), ERR_IO);
    assert_string_equal(err.text, "No port.");
    assert_int_equal(Task_Find("nobody").index, 0);
    Kernel_Free(kernel);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(messages_keep_their_order),
        cmocka_unit_test(messages_cross_threads_in_order),
        cmocka_unit_test(task_that_cannot_start_stops_the_kernel),
    };
    return cmocka_run_group_tests_name("task", tests, NULL, NULL);
}
