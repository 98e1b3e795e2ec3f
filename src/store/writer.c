/** @file
 * StoreWriter: the thread, its queue of batches and the eventfd that reports
 * finished batches to the event loop.
 */
#include "store/writer.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <sys/eventfd.h>

/* Maximum number of batches that share one sync. */
#define WRITER_GROUP_MAX 256

typedef struct Job {
    StoreBatch batch;
    bool stop;    /* stops the thread; has no batch */
    bool recover; /* recovers the store; has no batch */
    int result;
    char *why;
} Job;

struct StoreWriter {
    Store *store;
    StoreWriterDone done;
    void *owner;
    GAsyncQueue *jobs;
    GAsyncQueue *finished;
    GThread *thread;
    int finished_fd; /* eventfd, written when `finished` has new jobs */
    struct event *finished_event;
};

static void
free_job(Job *job)
{
    StoreBatch_Clear(&job->batch);
    g_free(job->why);
    g_free(job);
}

static void
finish_group(StoreWriter *writer, GPtrArray *group, int result,
             const char *why)
{
    for (guint i = 0; i < group->len; i++) {
        Job *job = group->pdata[i];
        job->result = result;
        job->why = g_strdup(why);
        g_async_queue_push(writer->finished, job);
    }
    g_ptr_array_set_size(group, 0);
    uint64_t one = 1;
    ssize_t count = write(writer->finished_fd, &one, sizeof(one));
    (void)count;
}

/* Waits for a job and collects it and the jobs queued after it in @p group.
 * Returns false when the thread must stop after this group. */
static bool
collect_group(StoreWriter *writer, GPtrArray *group)
{
    Job *job = g_async_queue_pop(writer->jobs);
    while (job != NULL && !job->stop) {
        g_ptr_array_add(group, job);
        if (group->len == WRITER_GROUP_MAX || job->recover) {
            return true;
        }
        job = g_async_queue_try_pop(writer->jobs);
    }
    if (job != NULL) {
        free_job(job);
        return false;
    }
    return true;
}

static gpointer
run_writer(gpointer arg)
{
    StoreWriter *writer = arg;
    GPtrArray *group = g_ptr_array_new();
    bool running = true;
    while (running) {
        running = collect_group(writer, group);
        if (group->len == 0) {
            continue;
        }
        Error err = ERROR_INIT;
        int result = ERR_OK;
        for (guint i = 0; result == ERR_OK && i < group->len; i++) {
            Job *job = group->pdata[i];
            result = job->recover
                         ? Store_Recover(writer->store, &err)
                         : Store_Write(writer->store, &job->batch, &err);
        }
        if (result == ERR_OK) {
            result = Store_Sync(writer->store, &err);
        }
        finish_group(writer, group, result, err.text);
        if (g_async_queue_length(writer->jobs) <= 0) {
            Store_MarkSynced(writer->store);
        }
    }
    g_ptr_array_unref(group);
    return NULL;
}

static void
on_finished(evutil_socket_t fd, short events, void *arg)
{
    StoreWriter *writer = arg;
    uint64_t count;
    ssize_t size = read(writer->finished_fd, &count, sizeof(count));
    (void)size;
    Job *job;
    while ((job = g_async_queue_try_pop(writer->finished)) != NULL) {
        writer->done(writer->owner, job->batch.sequence, job->result,
                     job->why);
        free_job(job);
    }
}

StoreWriter *
StoreWriter_Start(struct event_base *base, Store *store, StoreWriterDone done,
                  void *owner, Error *err)
{
    int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (fd < 0) {
        Error_Set(err, ERR_IO, "Cannot create an eventfd: %s.",
                  strerror(errno));
        return NULL;
    }
    StoreWriter *writer = g_new0(StoreWriter, 1);
    writer->store = store;
    writer->done = done;
    writer->owner = owner;
    writer->jobs = g_async_queue_new();
    writer->finished = g_async_queue_new();
    writer->finished_fd = fd;
    writer->finished_event =
        event_new(base, fd, EV_READ | EV_PERSIST, on_finished, writer);
    event_add(writer->finished_event, NULL);
    writer->thread = g_thread_new("store", run_writer, writer);
    return writer;
}

void
StoreWriter_Submit(StoreWriter *writer, const StoreBatch *batch)
{
    Job *job = g_new0(Job, 1);
    job->batch = *batch;
    g_async_queue_push(writer->jobs, job);
}

void
StoreWriter_Recover(StoreWriter *writer)
{
    Job *job = g_new0(Job, 1);
    job->batch.sequence = STORE_WRITER_RECOVERY;
    job->recover = true;
    g_async_queue_push(writer->jobs, job);
}

void
StoreWriter_Close(StoreWriter *writer)
{
    Job *job = g_new0(Job, 1);
    job->stop = true;
    g_async_queue_push(writer->jobs, job);
    g_thread_join(writer->thread);
    event_free(writer->finished_event);
    close(writer->finished_fd);
    while ((job = g_async_queue_try_pop(writer->finished)) != NULL) {
        free_job(job);
    }
    g_async_queue_unref(writer->jobs);
    g_async_queue_unref(writer->finished);
    Store_Close(writer->store);
    g_free(writer);
}
