/** @file
 * Helpers of the fuzz targets: decisions read from the fuzz input, and checks
 * that abort the run when the tested code and the oracle disagree.
 */
#ifndef LAURELLIFT_TEST_FUZZ_FUZZ_H
#define LAURELLIFT_TEST_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <xxhash.h>

/** Source of the decisions of one run: the bytes of the fuzz input, followed
 * by pseudo-random bytes seeded with a hash of the input. Short inputs thus
 * give long and reproducible runs. */
typedef struct FuzzInput {
    const uint8_t *bytes;
    size_t length;
    size_t position;          /**< Index of the next input byte. */
    uint64_t generator_state; /**< State of splitmix64. */
} FuzzInput;

static inline FuzzInput
fuzz_input(const uint8_t *bytes, size_t length)
{
    return (FuzzInput){
        .bytes = bytes,
        .length = length,
        .generator_state = XXH3_64bits(bytes, length),
    };
}

static inline uint8_t
fuzz_byte(FuzzInput *input)
{
    if (input->position < input->length) {
        return input->bytes[input->position++];
    }
    input->generator_state += 0x9e3779b97f4a7c15u;
    uint64_t value = input->generator_state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return (uint8_t)(value ^ (value >> 31));
}

/** Returns a number from 0 to @p limit - 1, or 0 if @p limit is 0. */
static inline unsigned
fuzz_pick(FuzzInput *input, unsigned limit)
{
    return limit == 0 ? 0 : fuzz_byte(input) % limit;
}

/** Prints the message and aborts if @p condition is false. libFuzzer then
 * saves the input. */
#define FUZZ_CHECK(condition, ...)                                            \
    do {                                                                      \
        if (!(condition)) {                                                   \
            fprintf(stderr, "check failed: " __VA_ARGS__);                    \
            fprintf(stderr, "\n");                                            \
            abort();                                                          \
        }                                                                     \
    } while (0)

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length);

#endif
