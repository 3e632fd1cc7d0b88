#ifndef CLI_SETTINGS_H
#define CLI_SETTINGS_H

#include "cli/options.h"

/** Options of all commands that change settings. */
extern const struct option_row cli_settings_change_rows[];

/**
 * Send a change of the settings, print the answer, and wait until it is in
 * force where that was asked for.
 *
 * @param args	the command's arguments, taken over
 * @return the exit status
 */
int cli_settings_send(struct cli *cli, const char *command, json_t *args);

#endif
