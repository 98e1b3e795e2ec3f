/** @file
 * Headers that cmocka needs before its own.
 */
#ifndef LAURELLIFT_TEST_UNIT_UNIT_H
#define LAURELLIFT_TEST_UNIT_UNIT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#endif
