/*
 * chat.c -- the chat-completions API, for existing clients.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chat.h"

static int
fail_bad_request(struct mu_error *e, const char *message)
{
	return mu_fail(
	    e, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN, 0, "%s", message);
}

/* Finds the model service by its own name or by that of its model. */
static const char *
find_service(const struct mu_text *t, const char *model)
{
	unsigned i;

	for (i = 0; t != NULL && i < t->nservices; i++)
		if (t->services[i].kind == MU_SERVICE_MODEL &&
		    (strcmp(t->services[i].name, model) == 0 ||
			(t->services[i].model != NULL &&
			    strcmp(t->services[i].model, model) == 0)))
			return t->services[i].name;
	return NULL;
}

static int
parse_seq(
    struct mu_chat *c, const char *program, const char *seq, struct mu_error *e)
{
	char *end;

	c->seq = 1;
	if (program == NULL && seq == NULL)
		return 0;
	if (program == NULL || seq == NULL)
		return fail_bad_request(
		    e, "Cardamom-Program and Cardamom-Seq go together");
	c->seq = strtoull(seq, &end, 10);
	if (seq[0] < '0' || seq[0] > '9' || *end != '\0' || c->seq == 0)
		return fail_bad_request(
		    e, "Cardamom-Seq: expected an integer from 1");
	return 0;
}

/* Messages after the last one of the assistant. */
static json_t *
new_messages(const json_t *all)
{
	json_t *list = json_array();
	const char *role;
	size_t i, from = 0;

	for (i = 0; i < json_array_size(all); i++) {
		role = json_string_value(
		    json_object_get(json_array_get(all, i), "role"));
		if (role != NULL && strcmp(role, "assistant") == 0)
			from = i + 1;
	}
	for (i = from; i < json_array_size(all); i++)
		json_array_append(list, json_array_get(all, i));
	return list;
}

int
mu_chat_parse(struct mu_chat *c, struct mu_web_req *r,
    const struct mu_text *text, const char *program, const char *seq,
    struct mu_error *e)
{
	json_t *j, *call = NULL, *messages, *max;
	const char *model, *service;
	char *body;
	int rc;

	memset(c, 0, sizeof(*c));
	rc = parse_seq(c, program, seq, e);
	if (rc != 0)
		return rc;
	j = json_loadb(r->body, r->len, JSON_REJECT_DUPLICATES, NULL);
	if (j == NULL)
		return mu_fail(e, MU_E_NOT_JSON, MU_OUTCOME_NOT_RUN, 0,
		    "the body is not JSON");
	model = json_string_value(json_object_get(j, "model"));
	messages = json_object_get(j, "messages");
	if (model == NULL || !json_is_array(messages)) {
		rc = fail_bad_request(e, "expected model and messages");
		goto out;
	}
	service = find_service(text, model);
	if (service == NULL) {
		rc = mu_fail(e, MU_E_UNKNOWN_SERVICE, MU_OUTCOME_NOT_RUN, 0,
		    "%.60s: no service serves this model", model);
		goto out;
	}
	c->stream = json_is_true(json_object_get(j, "stream"));
	c->model = mu_arena_strdup(r->arena, model);
	messages = c->seq == 1 ? json_incref(messages) : new_messages(messages);
	call = json_pack("{s:I,s:s,s:b,s:{s:o}}", "seq", (json_int_t)c->seq,
	    "service", service, "stream", c->stream, "input", "messages",
	    messages);
	max = json_object_get(j, "max_tokens");
	if (max != NULL)
		json_object_set(
		    json_object_get(call, "input"), "max_tokens", max);
	body = json_dumps(call, JSON_COMPACT);
	c->body = body != NULL ? mu_arena_strdup(r->arena, body) : NULL;
	free(body);
	if (c->body == NULL)
		rc = mu_fail(e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "no memory");
out:
	json_decref(call);
	json_decref(j);
	return rc;
}

const char *
mu_chat_program_id(struct mu_web_req *r, const struct mu_reply *reply)
{
	json_t *j = json_loadb(reply->body, reply->len, 0, NULL);
	const char *id = json_string_value(json_object_get(j, "program"));
	char *copy = mu_arena_strdup(r->arena, id != NULL ? id : "");

	json_decref(j);
	return copy;
}

enum MHD_Result
mu_chat_reply(struct mu_web_req *r, const struct mu_chat *c,
    const char *program, const struct mu_reply *reply)
{
	struct MHD_Response *response;
	json_t *answer, *usage, *j;
	json_int_t prompt, output;
	char *text;

	if (reply->status != 200)
		return mu_web_reply(r, reply);
	answer = json_loadb(reply->body, reply->len, 0, NULL);
	usage = json_object_get(answer, "usage");
	prompt = json_integer_value(json_object_get(usage, "prompt_tokens"));
	output = json_integer_value(json_object_get(usage, "output_tokens"));
	j = json_pack("{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:O},s:s}],s:{s:I,s:I,s:I}}",
	    "id", program, "object", "chat.completion", "model", c->model,
	    "choices", "index", 0, "message", "role", "assistant", "content",
	    json_object_get(answer, "output"), "finish_reason", "stop", "usage",
	    "prompt_tokens", prompt, "completion_tokens", output,
	    "total_tokens", prompt + output);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	json_decref(answer);
	if (text == NULL)
		return MHD_NO;
	response = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	MHD_add_response_header(response, "Cardamom-Program", program);
	return mu_web_queue(r, MHD_HTTP_OK, response);
}
