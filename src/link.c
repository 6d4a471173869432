/*
 * link.c -- an established link between two daemons.
 *
 * The reader never writes and the writer never reads, so two daemons that
 * both have much to send cannot deadlock.  Outgoing frames go through a queue
 * bounded in bytes; senders wait for space in the queue, and only the writer
 * blocks on the socket.  The writer sends heartbeats between queued frames.
 *
 * A link is closed when nothing was read for silence_ms, when a write made no
 * progress for as long (a frozen peer with a full socket buffer), when the
 * peer closes it, on a malformed frame, or on a large one for which there is no
 * room in the memory that incoming links share.  The silence timeout is checked
 * only after poll() found nothing to read, so that a process that was paused
 * first reads the data that arrived meanwhile.
 */
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#include "frame.h"
#include "link.h"
#include "log.h"
#include "metric.h"
#include "net.h"
#include "worker.h"

#define QUEUE_MAX_BYTES ((size_t)32 << 20)
#define READ_BUF_BYTES ((size_t)64 << 10) /* default read buffer size */

struct queued_frame {
	struct cds_list_head node;
	uint8_t *buf;
	size_t len;
};

struct mu_link {
	int refs; /* atomic */
	int fd;
	int stop; /* eventfd, readable once the link was stopped */
	char host[MU_NAME_LEN];
	void *owner;
	uint32_t heartbeat_ms;
	uint32_t silence_ms;
	struct mu_link_hooks hooks;
	mu_us last_read_us; /* atomic: time of the last received byte */
	uint64_t heartbeat_seq; /* writer only */

	pthread_mutex_t lock;
	pthread_cond_t frame_queued; /* frame queued or link stopped */
	pthread_cond_t space_freed; /* frame written or link stopped */
	struct cds_list_head queue;
	size_t queued_bytes; /* includes the frame being written */
	bool ended;

	uint8_t *read_buf; /* received, not yet decoded; reader only */
	size_t read_len;
	size_t read_size;
	struct mu_link_input *input; /* may be NULL */
};

struct mu_link *
mu_link_new(
    int fd, const struct mu_link_conf *conf, const struct mu_link_hooks *hooks)
{
	struct mu_link *l = calloc(1, sizeof(*l));
	int stop = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	uint8_t *read_buf = malloc(READ_BUF_BYTES);

	if (l == NULL || stop < 0 || read_buf == NULL)
		goto fail;
	l->refs = 1;
	l->fd = fd;
	l->stop = stop;
	(void)snprintf(l->host, sizeof(l->host), "%s", conf->host);
	l->owner = conf->owner;
	l->heartbeat_ms = conf->heartbeat_ms;
	l->silence_ms = conf->silence_ms;
	l->hooks = *hooks;
	l->last_read_us = mu_net_now();
	pthread_mutex_init(&l->lock, NULL);
	mu_cond_init(&l->frame_queued);
	mu_cond_init(&l->space_freed);
	CDS_INIT_LIST_HEAD(&l->queue);
	l->read_buf = read_buf;
	l->read_size = READ_BUF_BYTES;
	return l;
fail:
	free(read_buf);
	if (stop >= 0)
		close(stop);
	free(l);
	close(fd);
	return NULL;
}

/* Counts the change of the read buffer to size bytes; false without room. */
static bool
count_input(struct mu_link *l, size_t size)
{
	size_t total;

	if (l->input == NULL)
		return true;
	if (size <= l->read_size) {
		__atomic_sub_fetch(
		    &l->input->bytes, l->read_size - size, __ATOMIC_RELAXED);
		return true;
	}
	total = __atomic_add_fetch(
	    &l->input->bytes, size - l->read_size, __ATOMIC_RELAXED);
	if (total <= l->input->max)
		return true;
	__atomic_sub_fetch(
	    &l->input->bytes, size - l->read_size, __ATOMIC_RELAXED);
	return false;
}

void
mu_link_share_input(struct mu_link *l, struct mu_link_input *input)
{
	l->input = input;
}

struct mu_link *
mu_link_ref(struct mu_link *l)
{
	__atomic_add_fetch(&l->refs, 1, __ATOMIC_RELAXED);
	return l;
}

static void
queued_frame_free(struct queued_frame *i)
{
	free(i->buf);
	free(i);
}

void
mu_link_unref(struct mu_link *l)
{
	struct queued_frame *i, *next;

	if (__atomic_sub_fetch(&l->refs, 1, __ATOMIC_ACQ_REL) != 0)
		return;
	cds_list_for_each_entry_safe (i, next, &l->queue, node)
		queued_frame_free(i);
	pthread_cond_destroy(&l->space_freed);
	pthread_cond_destroy(&l->frame_queued);
	pthread_mutex_destroy(&l->lock);
	close(l->fd);
	close(l->stop);
	(void)count_input(l, READ_BUF_BYTES);
	free(l->read_buf);
	free(l);
}

const char *
mu_link_host(const struct mu_link *l)
{
	return l->host;
}

void *
mu_link_owner(const struct mu_link *l)
{
	return l->owner;
}

void
mu_link_stop(struct mu_link *l)
{
	uint64_t one = 1;

	pthread_mutex_lock(&l->lock);
	l->ended = true;
	pthread_cond_broadcast(&l->frame_queued);
	pthread_cond_broadcast(&l->space_freed);
	pthread_mutex_unlock(&l->lock);
	(void)!write(l->stop, &one, sizeof(one));
	(void)shutdown(l->fd, SHUT_RDWR);
}

bool
mu_link_up(struct mu_link *l)
{
	mu_us last_read_us =
	    __atomic_load_n(&l->last_read_us, __ATOMIC_RELAXED);
	bool ended;

	pthread_mutex_lock(&l->lock);
	ended = l->ended;
	pthread_mutex_unlock(&l->lock);
	return !ended && mu_net_now() - last_read_us <=
			     (mu_us)l->silence_ms * MU_US_PER_MS;
}

/* Queues one frame; deadline 0 ignores the queue's limit. */
static int
enqueue(struct mu_link *l, const Mu__Frame *f, mu_us deadline)
{
	struct queued_frame *i = calloc(1, sizeof(*i));
	int rc;

	if (i == NULL)
		return MU_E_NOMEM;
	rc = mu_frame_encode(f, &i->buf, &i->len);
	if (rc != 0) {
		free(i);
		return rc;
	}
	pthread_mutex_lock(&l->lock);
	while (deadline != 0 && !l->ended && l->queued_bytes > 0 &&
	       l->queued_bytes + i->len > QUEUE_MAX_BYTES && rc == 0) {
		if (!mu_cond_wait_until(&l->space_freed, &l->lock, deadline))
			rc = MU_E_DEADLINE;
	}
	if (l->ended)
		rc = MU_E_LINK_LOST;
	if (rc == 0) {
		cds_list_add_tail(&i->node, &l->queue);
		l->queued_bytes += i->len;
		pthread_cond_signal(&l->frame_queued);
	}
	pthread_mutex_unlock(&l->lock);
	if (rc != 0)
		queued_frame_free(i);
	return rc;
}

int
mu_link_post(struct mu_link *l, const Mu__Frame *f)
{
	return enqueue(l, f, 0);
}

int
mu_link_send(struct mu_link *l, const Mu__Frame *f, mu_us deadline)
{
	return enqueue(l, f, deadline);
}

static int
write_heartbeat(struct mu_link *l)
{
	struct mu_arena *arena = mu_arena_new();
	Mu__Heartbeat hb = MU__HEARTBEAT__INIT;
	Mu__Frame f = MU__FRAME__INIT;
	uint8_t *buf = NULL;
	size_t len;
	int rc = MU_E_NOMEM;

	if (arena == NULL)
		return rc;
	l->hooks.fill_heartbeat(l->hooks.arg, l, &hb, arena);
	hb.seq = ++l->heartbeat_seq;
	f.body_case = MU__FRAME__BODY_HEARTBEAT;
	f.heartbeat = &hb;
	rc = mu_frame_encode(&f, &buf, &len);
	if (rc == 0)
		rc = mu_net_write(l->fd, buf, len, l->stop, l->silence_ms);
	free(buf);
	mu_arena_free(arena);
	return rc;
}

/*
 * Removes the next frame from the queue.  Returns NULL when a heartbeat is
 * due or the link was stopped.  The frame's bytes count as queued until it is
 * written.
 */
static struct queued_frame *
dequeue(struct mu_link *l, mu_us due, bool *ended)
{
	struct queued_frame *i = NULL;
	bool waiting = true;

	pthread_mutex_lock(&l->lock);
	while (!l->ended && cds_list_empty(&l->queue) && waiting)
		waiting = mu_cond_wait_until(&l->frame_queued, &l->lock, due);
	*ended = l->ended;
	if (!l->ended && !cds_list_empty(&l->queue)) {
		i = cds_list_first_entry(&l->queue, struct queued_frame, node);
		cds_list_del(&i->node);
	}
	pthread_mutex_unlock(&l->lock);
	return i;
}

static int
write_queued(struct mu_link *l, struct queued_frame *i)
{
	int rc = mu_net_write(l->fd, i->buf, i->len, l->stop, l->silence_ms);

	pthread_mutex_lock(&l->lock);
	l->queued_bytes -= i->len;
	pthread_cond_broadcast(&l->space_freed);
	pthread_mutex_unlock(&l->lock);
	queued_frame_free(i);
	return rc;
}

static void *
writer_main(void *arg)
{
	struct mu_link *l = arg;
	mu_us due = mu_net_now();
	struct queued_frame *i;
	bool ended = false;
	int rc = 0;

	while (rc == 0 && !ended) {
		i = mu_net_now() < due ? dequeue(l, due, &ended) : NULL;
		if (i != NULL) {
			rc = write_queued(l, i);
		} else if (!ended && mu_net_now() >= due) {
			rc = write_heartbeat(l);
			due = mu_net_deadline(l->heartbeat_ms);
		}
	}
	mu_link_stop(l);
	return NULL;
}

/*
 * Grows the read buffer to hold the frame at its start, or shrinks it back to
 * the default size once it is empty.
 */
static int
reserve_read_space(struct mu_link *l)
{
	size_t need = READ_BUF_BYTES;
	uint8_t *p;

	if (l->read_len >= MU_FRAME_PREFIX_BYTES &&
	    mu_frame_size(l->read_buf) > need)
		need = mu_frame_size(l->read_buf);
	if (need > MU_FRAME_PREFIX_BYTES + MU_FRAME_MAX_BYTES)
		return MU_E_TOO_LARGE;
	if (need <= l->read_size &&
	    (l->read_len > 0 || l->read_size == READ_BUF_BYTES))
		return 0;
	if (!count_input(l, need)) {
		mu_count(MU_M_LINKS_REFUSED, 1);
		mu_log(MU_LOG_WARN, "link", "link_refused", "{s:s,s:s}",
		    "reason", "input", "host", l->host);
		return MU_E_OVERLOADED;
	}
	p = realloc(l->read_buf, need);
	if (p == NULL)
		goto no_memory;
	l->read_buf = p;
	l->read_size = need;
	return 0;
no_memory:
	if (l->input != NULL)
		__atomic_sub_fetch(
		    &l->input->bytes, need - l->read_size, __ATOMIC_RELAXED);
	return MU_E_NOMEM;
}

static int
read_available(struct mu_link *l)
{
	mu_us limit = (mu_us)l->silence_ms * MU_US_PER_MS;
	ssize_t n;
	int rc;

	rc = reserve_read_space(l);
	if (rc != 0)
		return rc;
	rc = mu_net_wait(l->fd, POLLIN, l->stop, l->last_read_us + limit);
	if (rc != 0)
		return rc;
	n = recv(
	    l->fd, l->read_buf + l->read_len, l->read_size - l->read_len, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (n <= 0)
		return MU_E_LINK_LOST;
	l->read_len += (size_t)n;
	__atomic_store_n(&l->last_read_us, mu_net_now(), __ATOMIC_RELAXED);
	return 0;
}

/* Passes every complete frame in the buffer to on_frame(). */
static int
dispatch_frames(struct mu_link *l)
{
	size_t pos = 0, used;
	Mu__Frame *f;
	int rc;

	for (;;) {
		rc = mu_frame_decode(
		    l->read_buf + pos, l->read_len - pos, &used, &f);
		if (rc != 0)
			return rc;
		if (f == NULL)
			break;
		pos += used;
		l->hooks.on_frame(l->hooks.arg, l, f);
	}
	if (pos > 0)
		memmove(l->read_buf, l->read_buf + pos, l->read_len - pos);
	l->read_len -= pos;
	return 0;
}

void
mu_link_run(struct mu_link *l)
{
	pthread_t writer;
	int rc = 0;

	if (pthread_create(&writer, NULL, writer_main, l) != 0) {
		mu_link_stop(l);
		return;
	}
	while (rc == 0) {
		rc = read_available(l);
		if (rc == 0)
			rc = dispatch_frames(l);
	}
	mu_link_stop(l);
	pthread_join(writer, NULL);
}
