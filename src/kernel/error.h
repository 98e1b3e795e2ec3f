/** @file
 * Error codes and error messages. A function that can fail returns an
 * ErrorCode and fills the Error that the caller passed, if any.
 */
#ifndef LAURELLIFT_KERNEL_ERROR_H
#define LAURELLIFT_KERNEL_ERROR_H

#include <stddef.h>

/** Error codes. The numbers are stable, since scripts may depend on them. */
typedef enum ErrorCode {
    ERR_OK = 0,
    ERR_INVALID = -1,     /**< Malformed input. */
    ERR_NOT_FOUND = -2,   /**< The named object does not exist. */
    ERR_CONFLICT = -3,    /**< A concurrent change was made first. */
    ERR_FULL = -4,        /**< A bounded queue or table is full. */
    ERR_IO = -5,          /**< A disk or network operation failed. */
    ERR_CORRUPT = -6,     /**< Stored or received data is damaged. */
    ERR_TIMEOUT = -7,     /**< The operation did not finish in time. */
    ERR_DENIED = -8,      /**< The key does not permit the operation. */
    ERR_UNAVAILABLE = -9, /**< Temporarily impossible; may be retried. */
    ERR_NO_MEMORY = -10,  /**< An allocation failed or a limit was reached. */
    ERR_STOPPING = -11,   /**< The process is shutting down. */
    ERR_TOO_LARGE = -12,  /**< Larger than the permitted size. */
    ERR_DUPLICATE = -13,  /**< The object already exists. */
} ErrorCode;

/** Error code with a message for the operator. */
typedef struct Error {
    int code;       /**< ERR_OK or a negative ErrorCode. */
    char text[256]; /**< Empty when code is ERR_OK. */
} Error;

#define ERROR_INIT ((Error){.code = ERR_OK})

/** Stores the code and the formatted message in @p err, unless it is NULL.
 * @return @p code. */
int Error_Set(Error *err, int code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Returns the stable lower-case name of @p code, such as "not_found". */
const char *Error_Name(int code);

/** Aborts the process when @p condition is false. For programming errors only,
 * never for invalid input. */
#define INVARIANT(condition)                                                  \
    ((condition) ? (void)0                                                    \
                 : Error_InvariantViolated(#condition, __FILE__, __LINE__))

void Error_InvariantViolated(const char *condition, const char *file, int line)
    __attribute__((noreturn));

#endif
