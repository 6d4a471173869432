/*
 * kvstore.c -- exported prefixes of the engine stand-in.
 *
 * An export is a JSON object with the program and the length of its prefix.
 * With a platform it is written to the object store, so that another engine
 * can import it; without one it is kept in this process.
 */
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "kvstore.h"
#include "musher.h"

#define PLATFORM_TIMEOUT_S 5

static struct {
	pthread_mutex_t lock;
	const char *platform;
	json_t *objects;
} kv = {.lock = PTHREAD_MUTEX_INITIALIZER};

void
kv_init(const char *platform)
{
	ne_sock_init();
	kv.platform = platform;
	kv.objects = json_object();
}

/* Sends a request to the object store; the body of a 2xx answer or NULL. */
static json_t *
store_request(const char *method, const char *name, const char *body)
{
	char ip[MU_ADDR_LEN], path[512], buf[4096];
	ne_session *sess;
	ne_request *req;
	json_t *out = NULL;
	uint16_t port;
	size_t len = 0;
	ssize_t n;

	if (mu_addr_parse(kv.platform, ip, &port) != 0)
		return NULL;
	snprintf(path, sizeof(path), "/objects/%s", name);
	sess = ne_session_create("http", ip, port);
	ne_set_session_flag(sess, NE_SESSFLAG_PERSIST, 0);
	ne_set_connect_timeout(sess, PLATFORM_TIMEOUT_S);
	ne_set_read_timeout(sess, PLATFORM_TIMEOUT_S);
	req = ne_request_create(sess, method, path);
	if (body != NULL)
		ne_set_request_body_buffer(req, body, strlen(body));
	if (ne_begin_request(req) == NE_OK) {
		while (len < sizeof(buf) &&
		       (n = ne_read_response_block(
			    req, buf + len, sizeof(buf) - len)) > 0)
			len += (size_t)n;
		if (ne_get_status(req)->klass == 2)
			out = body != NULL ? json_true()
					   : json_loadb(buf, len, 0, NULL);
	}
	ne_request_destroy(req);
	ne_session_destroy(sess);
	return out;
}

bool
kv_put(const char *name, const char *program, uint64_t tokens)
{
	json_t *o = json_pack(
	    "{s:s,s:I}", "program", program, "tokens", (json_int_t)tokens);
	json_t *r;
	char *text;

	if (kv.platform == NULL) {
		pthread_mutex_lock(&kv.lock);
		json_object_set_new(kv.objects, name, o);
		pthread_mutex_unlock(&kv.lock);
		return true;
	}
	text = json_dumps(o, JSON_COMPACT);
	r = store_request("PUT", name, text);
	free(text);
	json_decref(o);
	return r != NULL;
}

json_t *
kv_get(const char *name)
{
	json_t *o;

	if (kv.platform != NULL)
		return store_request("GET", name, NULL);
	pthread_mutex_lock(&kv.lock);
	o = json_incref(json_object_get(kv.objects, name));
	pthread_mutex_unlock(&kv.lock);
	return o;
}
