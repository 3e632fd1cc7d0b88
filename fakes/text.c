#include "fakes/text.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/map.h"
#include "base/rng.h"

#define TEXT_MARK "[tokens="
#define TEXT_MEDIAN 80
#define TEXT_SPREAD 0.8
#define TEXT_LONGEST 4096
#define TEXT_DRAWS 12
#define TEXT_INDEX_PRIME UINT64_C(0x9e3779b97f4a7c15)

uint64_t text_hash(const void *body, size_t len)
{
	return map_hash(body, len);
}

size_t text_token(uint64_t hash, int64_t index, char *token)
{
	static const char consonants[] = "bdfghjklmnprstvz";
	static const char vowels[] = "aeio";
	struct rng rng = { hash + (uint64_t)index * TEXT_INDEX_PRIME };
	uint64_t draw = rng_next(&rng);
	size_t syllables = 2 + (draw & 3) % 3;
	size_t len = 0;

	draw >>= 2;
	token[len++] = ' ';
	while (syllables--) {
		token[len++] = consonants[draw & 15];
		token[len++] = vowels[(draw >> 4) & 3];
		draw >>= 6;
	}
	token[len] = '\0';
	return len;
}

/* Log-normal: the sum of uniform draws stands in for a normal one. */
static int64_t text_draw_length(uint64_t hash)
{
	struct rng rng = { hash };
	double normal = -TEXT_DRAWS / 2.0;
	int64_t length;
	int i;

	for (i = 0; i < TEXT_DRAWS; i++)
		normal += rng_unit(&rng);
	length = (int64_t)(TEXT_MEDIAN * exp(TEXT_SPREAD * normal)) + 1;
	return length < TEXT_LONGEST ? length : TEXT_LONGEST;
}

int64_t text_length(const char *body, size_t len, uint64_t hash,
		    int64_t max_tokens)
{
	const char *mark = memmem(body, len, TEXT_MARK, strlen(TEXT_MARK));
	int64_t length;

	if (mark)
		length = strtoll(mark + strlen(TEXT_MARK), NULL, 10);
	else
		length = text_draw_length(hash);
	if (length < 1)
		length = 1;
	return max_tokens && length > max_tokens ? max_tokens : length;
}
