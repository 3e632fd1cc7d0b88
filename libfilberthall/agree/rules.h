#ifndef FILBERTHALL_AGREE_RULES_H
#define FILBERTHALL_AGREE_RULES_H

#include <stdint.h>

#include "agree/settings.h"
#include "core/rule.h"

/**
 * Typed views of the settings tree. A view is built when its path is set and is
 * valid until the path changes, so a lookup costs one hash.
 */

/** The view of that name, borrowed, or NULL. */
const struct class_rule *rules_class(const struct settings *settings,
				     const char *name);
const struct organisation_rule *
rules_organisation(const struct settings *settings, const char *name);
const struct service_rule *rules_service(const struct settings *settings,
					 const char *name);

/** The first route of a service that matches a call, or NULL. */
const struct route_rule *rules_route(const struct service_rule *service,
				     const char *method, const char *path);

void rules_visit_classes(const struct settings *settings,
			 void (*visit)(void *data,
				       const struct class_rule *rule),
			 void *data);
void rules_visit_organisations(const struct settings *settings,
			       void (*visit)(void *data,
					     const struct organisation_rule *),
			       void *data);
void rules_visit_services(const struct settings *settings,
			  void (*visit)(void *data,
					const struct service_rule *rule),
			  void *data);

/**
 * A number in the settings, or the schema's default if it isn't set, such as
 * rules_number(settings, "site/keys", "stale_ms"). Booleans are 0 and 1.
 */
double rules_number(const struct settings *settings, const char *path,
		    const char *field);

/** The same for text, borrowed; `fallback` if it isn't set. */
const char *rules_text(const struct settings *settings, const char *path,
		       const char *field, const char *fallback);

#endif
