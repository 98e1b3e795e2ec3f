/** @file
 * Parser for one line of a rule file.
 */
#ifndef LAURELLIFT_RULES_LINE_H
#define LAURELLIFT_RULES_LINE_H

#include "rules/rules.h"

typedef enum RulesLineKind {
    RULES_LINE_EMPTY, /**< Blank or only a comment. */
    RULES_LINE_ACCOUNT,
    RULES_LINE_MODEL,
    RULES_LINE_ROUTE,
} RulesLineKind;

typedef struct RulesLine {
    RulesLineKind kind;
    RulesAccount account;
    RulesRoute route;
    char model[RULES_NAME_MAX + 1];
} RulesLine;

/** Parses one line without its newline.
 * @param column  set to the column of the error, counted from 1.
 * @return NULL, or an error message. */
const char *RulesLine_Parse(const char *text, size_t length, RulesLine *line,
                            unsigned *column);

#endif
