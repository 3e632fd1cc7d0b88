#include "bench/request.h"

#include <inttypes.h>
#include <stdint.h>

#include "base/cleanup.h"

#define REQUEST_PREFIX_PRIME UINT64_C(0x9e3779b97f4a7c15)
#define REQUEST_WORD_SIZE 9

/* Words from a seed, so that equal prefixes have equal text. */
static void request_add_words(struct bytes *out, uint64_t seed, int64_t len)
{
	struct rng rng = { seed };

	for (; len > 0; len -= REQUEST_WORD_SIZE)
		bytes_append_format(out, "%08" PRIx32 " ",
				    (uint32_t)rng_next(&rng));
}

static void request_write_prompt(struct bytes *body,
				 const struct profile_class *class,
				 struct rng *rng)
{
	uint64_t prefix = rng_below(rng, (uint64_t) class->prefixes);

	bytes_append_format(body,
			    "{\"model\":\"%s\",\"stream\":%s,\"messages\":"
			    "[{\"role\":\"user\",\"content\":\"",
			    class->model, class->stream ? "true" : "false");
	request_add_words(body, (prefix + 1) * REQUEST_PREFIX_PRIME,
			  class->prompt_bytes);
	if (class->output_tokens)
		bytes_append_format(body, "[tokens=%" PRId64 "] ",
				    class->output_tokens);
	bytes_append_format(body, "%016" PRIx64 "\"}]", rng_next(rng));
	if (class->max_tokens)
		bytes_append_format(body, ",\"max_tokens\":%" PRId64,
				    class->max_tokens);
	bytes_append_text(body, "}");
}

static void request_write_lodgement(struct bytes *body,
				    const struct profile_class *class,
				    struct rng *rng)
{
	bytes_append_format(body,
			    "{\"lodgement\":\"%016" PRIx64 "\",\"text\":\"",
			    rng_next(rng));
	request_add_words(body, rng_next(rng), class->prompt_bytes);
	bytes_append_text(body, "\"}");
}

static void request_write_path(struct bytes *out,
			       const struct profile_class *class)
{
	if (class->service)
		bytes_append_format(out, "POST /service/%s%s HTTP/1.1\r\n",
				    class->service,
				    class->path ? class->path : "/");
	else
		bytes_append_text(out,
				  "POST /v1/chat/completions HTTP/1.1\r\n");
}

void request_write(struct request_text *text, const struct profile_class *class,
		   const char *key, struct rng *rng)
{
	cleanup(bytes_clear) struct bytes body = { 0 };
	struct bytes *out = &text->bytes;

	if (class->service)
		request_write_lodgement(&body, class, rng);
	else
		request_write_prompt(&body, class, rng);
	request_write_path(out, class);
	bytes_append_text(out, "Host: filberthall\r\n"
			       "Content-Type: application/json\r\n");
	if (key)
		bytes_append_format(out, "Authorization: Bearer %s\r\n", key);
	if (class->class_header)
		bytes_append_format(out, "X-Filberthall-Class: %s\r\n",
				    class->name);
	if (class->deadline_ms)
		bytes_append_format(out,
				    "X-Filberthall-Deadline-Ms: %" PRId64
				    "\r\n",
				    class->deadline_ms);
	if (class->service)
		bytes_append_format(out, "Idempotency-Key: %016" PRIx64 "\r\n",
				    rng_next(rng));
	bytes_append_format(out, "Content-Length: %zu\r\n\r\n", body.len);
	bytes_append(out, body.data, body.len);
	text->body_len = body.len;
	text->body = out->data + out->len - body.len;
	text->kind = class->service  ? ANSWER_SERVICE
		     : class->stream ? ANSWER_STREAM
				     : ANSWER_WHOLE;
}
