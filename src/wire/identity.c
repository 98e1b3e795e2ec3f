/** @file
 * Identity of a process in Hello frames.
 */
#include "wire/identity.h"

#include <sodium.h>

#include "kernel/clock.h"

#define INCARNATION_RANDOM_BITS 16

uint64_t
LinkIdentity_NewIncarnation(void)
{
    uint64_t random = randombytes_uniform(1u << INCARNATION_RANDOM_BITS);
    return ((uint64_t)Clock_WallMs() << INCARNATION_RANDOM_BITS) | random;
}

LinkIdentity
LinkIdentity_Make(const Settings *settings, Wire__Role role, const char *name)
{
    return (LinkIdentity){
        .role = role,
        .name = name,
        .incarnation = LinkIdentity_NewIncarnation(),
        .zone = settings->zone,
        .region = settings->region,
    };
}
