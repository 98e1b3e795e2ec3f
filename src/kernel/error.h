/** @file
 * Typed outcomes. A function that can fail returns a negative number from
 * ErrorCode and, where the caller passed an Error, a sentence about it.
 */
#ifndef LAURELLIFT_KERNEL_ERROR_H
#define LAURELLIFT_KERNEL_ERROR_H

#include <stddef.h>

/** Error numbers. They are stable: scripts and callers may rely on them. */
typedef enum ErrorCode {
    ERR_OK = 0,
    ERR_INVALID = -1,     /**< Malformed input. */
    ERR_NOT_FOUND = -2,   /**< The named thing does not exist. */
    ERR_CONFLICT = -3,    /**< Another change came first. */
    ERR_FULL = -4,        /**< A bounded queue or table has no room. */
    ERR_IO = -5,          /**< The disk or the network failed. */
    ERR_CORRUPT = -6,     /**< Stored or received bytes fail their check. */
    ERR_TIMEOUT = -7,     /**< Nothing came within the time allowed. */
    ERR_DENIED = -8,      /**< The key does not allow this. */
    ERR_UNAVAILABLE = -9, /**< Not possible now; may be retried later. */
    ERR_NO_MEMORY = -10,  /**< An allocation failed or a bound is reached. */
    ERR_STOPPING = -11,   /**< The process is shutting down. */
    ERR_TOO_LARGE = -12,  /**< Larger than the stated bound. */
    ERR_DUPLICATE = -13,  /**< Already there. */
} ErrorCode;

/** An outcome with a sentence for a person. */
typedef struct Error {
    int code;       /**< ERR_OK or a negative ErrorCode. */
    char text[256]; /**< Empty when code is ERR_OK. */
} Error;

#define ERROR_INIT ((Error){.code = ERR_OK})

/** Fills @p err (may be NULL) and returns @p code. */
int Error_Set(Error *err, int code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** The stable lower-case name of @p code, such as "not_found". */
const char *Error_Name(int code);

/** Stops the process when an invariant is broken. Never for bad input. */
#define INVARIANT(condition)                                                  \
    ((condition) ? (void)0                                                    \
                 : Error_BrokenInvariant(#condition, __FILE__, __LINE__))

void Error_BrokenInvariant(const char *condition, const char *file, int line)
    __attribute__((noreturn));

#endif
