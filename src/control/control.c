/** @file
 * Control task: answers leases, rules, members and claims over links.
 */
#include "control/control.h"

#include <string.h>

#include <event2/http.h>
#include <glib.h>

#include "kernel/clock.h"
#include "kernel/log.h"
#include "wire/http.h"
#include "wire/link.h"
#include "wire/self.h"

#define PART "control"

typedef struct Claim {
    uint64_t body_hash;
    Wire__ClaimState state; /* RUNNING, FINISHED or LOST */
    uint32_t status;
    char *content_type;
    GBytes *answer;
} Claim;

typedef struct Control {
    const Settings *settings;
    LinkSelf self;
    LinkServer *links;
    struct evhttp *http;
    char *rules_text;
    uint64_t rules_version;
    uint64_t members_version;
    GHashTable *members; /* Link -> packed Presence (GBytes) */
    GHashTable *claims;  /* "account\nkey" -> Claim */
} Control;

static void
free_claim(gpointer data)
{
    Claim *claim = data;
    g_free(claim->content_type);
    if (claim->answer != NULL) {
        g_bytes_unref(claim->answer);
    }
    g_free(claim);
}

static void
on_lease(Control *control, Link *link, const Wire__LeaseRequest *request)
{
    Wire__LeaseReply reply = WIRE__LEASE_REPLY__INIT;
    reply.sequence = request->sequence;
    reply.granted = true;
    reply.rules_version = control->rules_version;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_LEASE_REPLY;
    frame.lease_reply = &reply;
    Link_Send(link, &frame);
}

static void
on_rules(Control *control, Link *link)
{
    Wire__Rules rules = WIRE__RULES__INIT;
    rules.version = control->rules_version;
    rules.text = control->rules_text;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_RULES;
    frame.rules = &rules;
    Link_Send(link, &frame);
}

static void
on_presence(Control *control, Link *link, const Wire__Presence *presence)
{
    size_t size = wire__presence__get_packed_size(presence);
    uint8_t *bytes = g_malloc(size);
    wire__presence__pack(presence, bytes);
    GBytes *packed = g_bytes_new_take(bytes, size);
    GBytes *known = g_hash_table_lookup(control->members, link);
    if (known != NULL && g_bytes_equal(known, packed)) {
        g_bytes_unref(packed);
        return;
    }
    g_hash_table_insert(control->members, link, packed);
    control->members_version++;
}

static void
on_members(Control *control, Link *link, const Wire__MembersRequest *request)
{
    Wire__Members members = WIRE__MEMBERS__INIT;
    members.version = control->members_version;
    guint count = g_hash_table_size(control->members);
    members.members = g_new0(Wire__Presence *, count);
    GHashTableIter iter;
    gpointer packed;
    g_hash_table_iter_init(&iter, control->members);
    while (request->have_version != members.version &&
           g_hash_table_iter_next(&iter, NULL, &packed))
    {
        size_t size;
        const uint8_t *bytes = g_bytes_get_data(packed, &size);
        members.members[members.n_members++] =
            wire__presence__unpack(NULL, size, bytes);
    }
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_MEMBERS;
    frame.members = &members;
    Link_Send(link, &frame);
    for (size_t i = 0; i < members.n_members; i++) {
        wire__presence__free_unpacked(members.members[i], NULL);
    }
    g_free(members.members);
}

static void
fill_claim(const Claim *claim, const Wire__Command *command,
           Wire__CommandReply *reply)
{
    reply->claim = claim->state;
    if (claim->body_hash != command->body_hash) {
        reply->claim = WIRE__CLAIM_STATE__CLAIM_MISMATCH;
        return;
    }
    if (claim->state == WIRE__CLAIM_STATE__CLAIM_FINISHED) {
        reply->status = claim->status;
        reply->content_type = claim->content_type;
        gsize size;
        const void *bytes = g_bytes_get_data(claim->answer, &size);
        reply->answer.data = (uint8_t *)bytes;
        reply->answer.len = size;
    }
}

static void
finish_claim(Claim *claim, const Wire__Command *command)
{
    claim->state = WIRE__CLAIM_STATE__CLAIM_FINISHED;
    claim->status = command->status;
    claim->content_type = g_strdup(command->content_type);
    claim->answer = g_bytes_new(command->answer.data, command->answer.len);
}

static void
apply_claim(Control *control, const Wire__Command *command,
            Wire__CommandReply *reply)
{
    char *name = g_strdup_printf("%s\n%s", command->account, command->key);
    Claim *claim = g_hash_table_lookup(control->claims, name);
    switch (command->kind) {
    case WIRE__COMMAND_KIND__COMMAND_CLAIM:
        if (claim != NULL) {
            fill_claim(claim, command, reply);
            break;
        }
        claim = g_new0(Claim, 1);
        claim->body_hash = command->body_hash;
        claim->state = WIRE__CLAIM_STATE__CLAIM_RUNNING;
        g_hash_table_insert(control->claims, g_strdup(name), claim);
        reply->claim = WIRE__CLAIM_STATE__CLAIM_GRANTED;
        break;
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE:
        g_hash_table_remove(control->claims, name);
        break;
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE:
        if (claim != NULL) {
            finish_claim(claim, command);
        }
        break;
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_UNKNOWN:
        if (claim != NULL) {
            claim->state = WIRE__CLAIM_STATE__CLAIM_LOST;
        }
        break;
    default:
        reply->code = ERR_INVALID;
        break;
    }
    g_free(name);
}

static void
on_command(Control *control, Link *link, const Wire__Command *command)
{
    Wire__CommandReply reply = WIRE__COMMAND_REPLY__INIT;
    reply.command_id = command->command_id;
    apply_claim(control, command, &reply);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_COMMAND_REPLY;
    frame.command_reply = &reply;
    Link_Send(link, &frame);
}

static void
on_link_up(Link *link, void *owner)
{
    LOG_INFO(PART, "Peer joined. peer=%s", Link_Peer(link)->name);
}

static void
on_link_down(Link *link, void *owner)
{
    Control *control = owner;
    if (g_hash_table_remove(control->members, link)) {
        control->members_version++;
    }
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Control *control = owner;
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_LEASE_REQUEST:
        on_lease(control, link, frame->lease_request);
        break;
    case WIRE__FRAME__BODY_RULES_REQUEST:
        on_rules(control, link);
        break;
    case WIRE__FRAME__BODY_PRESENCE:
        on_presence(control, link, frame->presence);
        break;
    case WIRE__FRAME__BODY_MEMBERS_REQUEST:
        on_members(control, link, frame->members_request);
        break;
    case WIRE__FRAME__BODY_COMMAND:
        on_command(control, link, frame->command);
        break;
    default:
        break;
    }
}

static const LinkOps link_ops = {
    .up = on_link_up,
    .down = on_link_down,
    .frame = on_frame,
};

static const SettingsControlHost *
own_host(const Settings *settings)
{
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        if (settings->control_hosts[i].id == settings->control->id) {
            return &settings->control_hosts[i];
        }
    }
    return NULL;
}

static int
start(TaskHandle self, void *state, Error *err)
{
    Control *control = state;
    const SettingsControlHost *host = own_host(control->settings);
    Address address;
    struct event_base *base = Task_Base(self);
    int result = Address_Parse(host->address, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    control->links =
        Link_Listen(base, &control->self, &address, &link_ops, control, err);
    if (control->links == NULL) {
        return err->code;
    }
    result = Address_Parse(host->admin, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    control->http = Http_Listen(base, &address, NULL, NULL, err);
    return control->http == NULL ? err->code : ERR_OK;
}

static void
receive(TaskHandle self, void *state, const Message *message)
{
}

static void
stop(TaskHandle self, void *state)
{
    Control *control = state;
    if (control->http != NULL) {
        evhttp_free(control->http);
    }
    if (control->links != NULL) {
        Link_CloseServer(control->links);
    }
    g_hash_table_destroy(control->members);
    g_hash_table_destroy(control->claims);
    g_free(control->rules_text);
    g_free(control);
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    Control *control = state;
    json_object_set_new(out, "rules_version",
                        json_integer((json_int_t)control->rules_version));
    json_object_set_new(out, "members",
                        json_integer(g_hash_table_size(control->members)));
    json_object_set_new(out, "claims",
                        json_integer(g_hash_table_size(control->claims)));
}

static const TaskOps control_ops = {
    .start = start,
    .receive = receive,
    .stop = stop,
    .dump = dump,
};

int
Control_AddTask(Kernel *kernel, const Settings *settings, Error *err)
{
    Control *control = g_new0(Control, 1);
    control->settings = settings;
    control->self =
        Self_Make(settings, WIRE__ROLE__ROLE_CONTROL, settings->name);
    control->members =
        g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_bytes_unref);
    control->claims =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_claim);
    const char *path = settings->control->rules;
    if (path != NULL && path[0] != '\0' &&
        !g_file_get_contents(path, &control->rules_text, NULL, NULL))
    {
        g_free(control);
        return Error_Set(err, ERR_IO, "Cannot read rule file %s.", path);
    }
    control->rules_version = 1;
    if (control->rules_text == NULL) {
        control->rules_text = g_strdup("");
    }
    Kernel_AddTask(kernel, &(TaskSpec){
                               .name = "control",
                               .ops = &control_ops,
                               .state = control,
                           });
    return ERR_OK;
}
