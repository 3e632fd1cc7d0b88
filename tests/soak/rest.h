#ifndef TESTS_SOAK_REST_H
#define TESTS_SOAK_REST_H

#include "soak.h"

/** A backend server that now and then turns all away and asks for rest. */
struct rest;

struct rest *rest_new(struct soak *soak, int server);
void rest_free(struct rest *rest);

/** Whether it turns requests away now. */
bool rest_asks(const struct rest *rest);

/** Whether a VM may still have to send it nothing. */
bool rest_holds(const struct rest *rest);

/** A request has come; checks what the site is promised in the calm. */
void rest_arrival(struct rest *rest, int number);

/** It is turned away; for how many ms its VM is asked to send nothing. */
int64_t rest_ask(struct rest *rest, int number);

/** The server has started again: to VMs it is another one. */
void rest_started(struct rest *rest);

/** It asks no more. */
void rest_end(struct rest *rest);

#endif
