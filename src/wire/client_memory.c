/** @file
 * Memory that this process holds for its clients.
 */
#include "wire/client_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <sys/resource.h>

#include "kernel/counter.h"
#include "kernel/log.h"

#define PART "clients"
/* Part of the machine's memory that clients may take by default. */
#define DEFAULT_DIVISOR 2
#define BYTES_PER_MB ((size_t)1024 * 1024)
/* Part of the descriptors that clients may take, besides those that the
 * process needs for its files. */
#define DESCRIPTORS_DIVISOR 2
#define DESCRIPTORS_RESERVED 200
/* Blocks of this size are mapped one by one, and so returned to the system
 * when they are freed. A fixed threshold, unlike the allocator's own, does not
 * grow with the largest block that was freed. */
#define MAP_MIN_BYTES (256 * 1024)
#define TRIM_MIN_BYTES (2 * 1024 * 1024)
/* Time from a large release until memory is returned, in which more may be
 * released. */
#define TRIM_DELAY_MS 200
/* Accounts that may give way for one charge. */
#define YIELDS_MAX 4096
#define REPORT_PERIOD_US US_PER_S

/* Events of one kind, which are counted and reported together. */
typedef struct Report {
    const char *name; /* of the counter */
    const char *help;
    const char *event;
    Counter *counter; /* NULL before the first event */
    unsigned count;   /* since the last record */
    TimeUs logged_at; /* 0 before the first record */
} Report;

static struct {
    ClientBudget *budget;
    struct event *trim_event;
    bool trim_pending;
} memory;

size_t
ClientMemory_MachineBytes(size_t memory_mb)
{
    return memory_mb > 0 ? memory_mb * BYTES_PER_MB
                         : (size_t)sysconf(_SC_PHYS_PAGES) *
                               (size_t)sysconf(_SC_PAGESIZE);
}

/* Raises the number of descriptors as far as the system allows.
 * @return that number. */
static size_t
raise_descriptors(void)
{
    struct rlimit limit = {.rlim_cur = 0};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 0;
    }
    struct rlimit raised = {
        .rlim_cur = limit.rlim_max,
        .rlim_max = limit.rlim_max,
    };
    return setrlimit(RLIMIT_NOFILE, &raised) == 0 ? raised.rlim_cur
                                                  : limit.rlim_cur;
}

static unsigned
connections_bound(size_t max_descriptors)
{
    if (max_descriptors == 0) {
        max_descriptors = raise_descriptors();
    }
    size_t usable = max_descriptors > 2 * DESCRIPTORS_RESERVED
                        ? max_descriptors - DESCRIPTORS_RESERVED
                        : max_descriptors;
    return (unsigned)MIN(usable / DESCRIPTORS_DIVISOR, G_MAXUINT32);
}

void
ClientMemory_Init(size_t memory_mb, unsigned divisor, size_t max_descriptors)
{
    mallopt(M_MMAP_THRESHOLD, MAP_MIN_BYTES);
    mallopt(M_TRIM_THRESHOLD, TRIM_MIN_BYTES);
    if (memory.budget != NULL) {
        ClientBudget_Free(memory.budget);
    }
    memory.budget =
        ClientBudget_New(ClientMemory_MachineBytes(memory_mb) / divisor,
                         connections_bound(max_descriptors));
}

ClientBudget *
ClientMemory_Budget(void)
{
    if (memory.budget == NULL) {
        ClientMemory_Init(0, DEFAULT_DIVISOR, 0);
    }
    return memory.budget;
}

/* Counts an event, and logs the events since the last record at most once a
 * second: a crowd causes thousands. */
static void
report(Report *kind)
{
    TimeUs now = Clock_Now();
    kind->count++;
    if (kind->counter == NULL) {
        kind->counter = Counter_Get(kind->name, kind->help);
    }
    Counter_Add(kind->counter, 1);
    if (kind->logged_at != 0 && now - kind->logged_at < REPORT_PERIOD_US) {
        return;
    }
    LOG_WARN(PART, "%s count=%u used=%zu bound=%zu", kind->event, kind->count,
             ClientBudget_Used(memory.budget),
             ClientBudget_Bound(memory.budget));
    kind->logged_at = now;
    kind->count = 0;
}

/* Lets another account give way for a charge.
 * @return false if none does. */
static bool
make_room(const ClientAccount *account, size_t bytes)
{
    static Report yields = {
        .name = "clients_gave_way_total",
        .help = "Connections and incomplete requests that were ended to make "
                "room for others.",
        .event = "Clients give way.",
    };
    ClientAccount *other = ClientBudget_ChooseYielding(
        ClientMemory_Budget(), account, bytes, Clock_Now());
    if (other == NULL) {
        return false;
    }
    report(&yields);
    other->yield(other->owner);
    return true;
}

bool
ClientMemory_Charge(ClientAccount *account, size_t bytes)
{
    static Report refusals = {
        .name = "clients_refused_charges_total",
        .help = "Requests and frames that found no room.",
        .event = "There is no room for requests or frames of clients.",
    };
    ClientBudget *budget = ClientMemory_Budget();
    for (int i = 0; i < YIELDS_MAX; i++) {
        if (ClientBudget_Charge(budget, account, bytes)) {
            return true;
        }
        if (!make_room(account, bytes)) {
            break;
        }
    }
    report(&refusals);
    return false;
}

void
ClientMemory_ChargeAnswer(ClientAccount *account, size_t bytes)
{
    static Report cuts = {
        .name = "clients_cut_off_total",
        .help = "Connections that were closed because their unsent answers "
                "exceeded the memory for clients.",
        .event = "Clients that read slowly are cut off.",
    };
    ClientBudget *budget = ClientMemory_Budget();
    ClientBudget_SetAnswer(budget, account, bytes);
    ClientAccount *other;
    while ((other = ClientBudget_TakeCut(budget)) != NULL) {
        report(&cuts);
        other->cut(other->owner);
    }
}

bool
ClientMemory_Open(ClientAccount *account, ClientYield *yield, void *owner)
{
    static Report refusals = {
        .name = "clients_refused_connections_total",
        .help = "Connections that were closed at once for want of room.",
        .event = "There is no room for connections of clients.",
    };
    ClientBudget *budget = ClientMemory_Budget();
    for (int i = 0; i < YIELDS_MAX; i++) {
        if (ClientBudget_Open(budget, account, yield, owner, Clock_Now())) {
            return true;
        }
        if (!make_room(NULL, CLIENT_IDLE_BYTES)) {
            break;
        }
    }
    report(&refusals);
    return false;
}

void
ClientMemory_Close(ClientAccount *account)
{
    ClientBudget_Close(ClientMemory_Budget(), account);
}

static void
on_trim(evutil_socket_t fd, short events, void *arg)
{
    memory.trim_pending = false;
    malloc_trim(0);
}

void
ClientMemory_OnReleased(struct event_base *base)
{
    if (memory.trim_pending ||
        !ClientBudget_TakeReleased(ClientMemory_Budget())) {
        return;
    }
    if (memory.trim_event == NULL) {
        memory.trim_event = event_new(base, -1, 0, on_trim, NULL);
    }
    struct timeval delay = {.tv_usec = TRIM_DELAY_MS * US_PER_MS};
    event_add(memory.trim_event, &delay);
    memory.trim_pending = true;
}
