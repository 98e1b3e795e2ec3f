/** @file
 * The entry's copy of the rules. New versions are fetched as a delta to the
 * current text, or as full text if a delta does not apply.
 */
#include <string.h>

#include "entry/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "rules/delta.h"

void
EntryRules_Request(Entry *entry, Link *link)
{
    Wire__RulesRequest request = WIRE__RULES_REQUEST__INIT;
    request.have_version = entry->lease.version;
    request.accepts_delta =
        entry->rules_text != NULL && !entry->needs_full_rules;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_RULES_REQUEST;
    frame.rules_request = &request;
    Link_Send(link, &frame);
}

static char *
apply_delta(const Entry *entry, const Wire__Rules *message)
{
    if (entry->rules_text == NULL ||
        message->base_version != entry->lease.version) {
        return NULL;
    }
    const Wire__RulesDelta *wire = message->delta;
    RulesDelta delta = {
        .prefix = wire->prefix,
        .suffix = wire->suffix,
        .middle = (const char *)wire->middle.data,
        .middle_length = wire->middle.len,
        .hash = wire->hash,
    };
    return RulesDelta_Apply(entry->rules_text, &delta);
}

static void
activate_rules(Entry *entry, uint64_t version, char *text, Rules *rules)
{
    Rules_Unref(entry->rules);
    g_free(entry->rules_text);
    entry->rules = rules;
    entry->rules_text = text;
    entry->needs_full_rules = false;
    Lease_SetVersion(&entry->lease, version);
    LOG_INFO(ENTRY_PART, "Rules in force. version=%llu accounts=%u",
             (unsigned long long)version, Rules_AccountCount(rules));
}

bool
EntryRules_OnRules(Entry *entry, const Wire__Rules *message)
{
    if (message->version <= entry->lease.version) {
        return false;
    }
    bool is_delta = message->delta != NULL;
    char *text =
        is_delta ? apply_delta(entry, message) : g_strdup(message->text);
    if (text == NULL) {
        /* The next EntryRules_Request requests the full text. */
        entry->needs_full_rules = true;
        return false;
    }
    size_t fault_count;
    Rules *rules = Rules_Parse(text, strlen(text), NULL, 0, &fault_count);
    if (rules == NULL) {
        LOG_ERROR(
            ENTRY_PART,
            "The rules received from control cannot be parsed. version=%llu",
            (unsigned long long)message->version);
        g_free(text);
        return false;
    }
    Counter_Add(Counter_Get(is_delta ? "entry_rules_taken_total{as=\"delta\"}"
                                     : "entry_rules_taken_total{as=\"whole\"}",
                            "Rule versions taken from control."),
                1);
    activate_rules(entry, message->version, text, rules);
    return true;
}

void
EntryRules_Free(Entry *entry)
{
    Rules_Unref(entry->rules);
    g_free(entry->rules_text);
}
