/** @file
 * Includes cmocka.h and the headers that must precede it.
 */
#ifndef LAURELLIFT_TEST_UNIT_UNIT_H
#define LAURELLIFT_TEST_UNIT_UNIT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#endif
