/** @file
 * Stand-in for the operator and the load balancer: sends one call, prints the
 * status and, with `--print 1`, the body.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net.h"

#define BODY_MAX (1024 * 1024)

int
main(int argc, char **argv)
{
    const char *file = Net_Option(argc, argv, "--body", NULL);
    char *body = calloc(1, BODY_MAX);
    char *answer = calloc(1, BODY_MAX);
    size_t length = 0;
    if (file != NULL) {
        FILE *in = fopen(file, "r");
        if (in == NULL) {
            return 2;
        }
        length = fread(body, 1, BODY_MAX, in);
        fclose(in);
    }
    int status = Net_Call(Net_Option(argc, argv, "--to", "127.0.0.1:80"),
                          Net_Option(argc, argv, "--method", "GET"),
                          Net_Option(argc, argv, "--path", "/"), body, length,
                          answer, BODY_MAX,
                          (int)Net_Number(argc, argv, "--timeout-ms", 3000));
    printf("%d\n", status);
    if (Net_Number(argc, argv, "--print", 0) != 0) {
        printf("%s\n", answer);
    }
    return status >= 200 && status < 300 ? 0 : 1;
}
