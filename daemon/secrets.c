#include "daemon/secrets.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>

#include "agree/yaml.h"
#include "daemon/disk/file.h"
#include "daemon/http/http_in.h"

#define SECRETS_LEAST 16
#define SECRETS_PEM_MOST (256 * 1024)
#define SECRETS_SETTINGS_MOST (4 * 1024 * 1024)

static enum result secrets_read_secret(struct bytes *secret, const char *path,
				       const struct error_handler *handler)
{
	enum result code;

	code = file_read(secret, path, SECRETS_MOST, handler);
	if (code)
		return code;
	while (secret->len && (secret->data[secret->len - 1] == '\n' ||
			       secret->data[secret->len - 1] == '\r'))
		secret->len--;
	if (secret->len < SECRETS_LEAST)
		return error_report(handler, RESULT_SETTING_VALUE,
				    "%s: a secret of %d bytes or more is "
				    "needed",
				    path, SECRETS_LEAST);
	return RESULT_OK;
}

static enum result
secrets_read_seed_settings(struct secrets *secrets, const char *path,
			   const struct error_handler *handler)
{
	struct bytes text = { 0 };
	json_t *values = NULL;
	enum result code;
	char *dumped;

	code = file_read(&text, path, SECRETS_SETTINGS_MOST, handler);
	if (!code)
		code = yaml_read_settings(path, bytes_text(&text), text.len,
					  &values, handler);
	bytes_clear(&text);
	if (code)
		return code;
	dumped = json_dumps(values, JSON_COMPACT);
	json_decref(values);
	bytes_append_text(&secrets->seed_values, dumped ? dumped : "{}");
	free(dumped);
	return RESULT_OK;
}

static enum result secrets_read_seed_key(struct secrets *secrets,
					 const char *path,
					 const struct error_handler *handler)
{
	struct bytes key = { 0 };
	enum result code;

	code = secrets_read_secret(&key, path, handler);
	if (!code)
		key_hash(secrets->seed_key_hash, secrets->key_secret.data,
			 secrets->key_secret.len, key.data, key.len);
	bytes_clear(&key);
	return code;
}

static enum result secrets_read_tls(struct secrets *secrets,
				    const struct boot *boot,
				    const struct error_handler *handler)
{
	enum result code;

	if (!boot->tls_certificate)
		return RESULT_OK;
	code = file_read(&secrets->certificate, boot->tls_certificate,
			 SECRETS_PEM_MOST, handler);
	if (!code)
		code = file_read(&secrets->private_key, boot->tls_key,
				 SECRETS_PEM_MOST, handler);
	return code;
}

enum result secrets_load(struct secrets *secrets, const struct boot *boot,
			 const struct error_handler *handler)
{
	enum result code;

	code = secrets_read_secret(&secrets->key_secret, boot->key_secret_file,
				   handler);
	if (!code)
		code = secrets_read_secret(&secrets->link_secret,
					   boot->link_secret_file, handler);
	if (!code && boot->seed_settings)
		code = secrets_read_seed_settings(secrets, boot->seed_settings,
						  handler);
	if (!code && boot->seed_key_file)
		code = secrets_read_seed_key(secrets, boot->seed_key_file,
					     handler);
	if (!code)
		code = secrets_read_tls(secrets, boot, handler);
	return code;
}

void secrets_clear(struct secrets *secrets)
{
	if (secrets->key_secret.len)
		sodium_memzero(secrets->key_secret.data,
			       secrets->key_secret.len);
	if (secrets->link_secret.len)
		sodium_memzero(secrets->link_secret.data,
			       secrets->link_secret.len);
	bytes_clear(&secrets->key_secret);
	bytes_clear(&secrets->link_secret);
	bytes_clear(&secrets->certificate);
	bytes_clear(&secrets->private_key);
	bytes_clear(&secrets->seed_values);
}
