/*
 * fuzz_mesh.c -- bytes from anyone who connects to the mesh port.
 *
 * The first byte says where the others are split into two pieces, so that
 * frames arrive unfinished.  The link is then closed by the other end.  No
 * input may break the mesh, which is the same for all inputs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mesh.h"
#include "net.h"

#define ROUNDS 3 /* of the loop for one piece */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static struct mu_clock clock_now;
static struct mu_loop *loop;
static struct mu_mesh *mesh;
static char addr[MU_ADDR_LEN];

static void
fill(void *arg, Mu__Beat *b)
{
	(void)arg;
	(void)b;
}

static void
on_request(void *arg, struct mu_mesh_link *from, const Mu__Frame *f)
{
	(void)arg;
	(void)from;
	(void)f;
}

static void
start(void)
{
	static char host[] = "d2", domain[] = "east";
	static char unreachable[] = "127.0.0.1:9";
	struct mu_mesh_hooks hooks = {
	    .fill_heartbeat = fill, .on_request = on_request};
	struct mu_mesh_conf conf = {"d1", "east", addr, 1, 200, 700};
	Mu__DaemonRow row = MU__DAEMON_ROW__INIT;
	struct mu_error e;
	int port;

	mu_clock_manual(&clock_now, MU_US_PER_S);
	loop = mu_loop_new(&clock_now);
	for (port = 30000; mesh == NULL && port < 31000; port++) {
		(void)snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
		if (mu_mesh_new(&mesh, loop, &conf, &hooks, &e) != 0)
			mesh = NULL;
	}
	if (mesh == NULL)
		abort();
	row.host = host;
	row.domain = domain;
	row.mesh_addr = unreachable;
	mu_mesh_update_peer(mesh, &row);
}

static void
send_piece(int fd, const uint8_t *data, size_t size)
{
	int i;

	if (size > 0)
		(void)!send(fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
	for (i = 0; i < ROUNDS; i++)
		mu_loop_once(loop, 0);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	/* A reset leaves no port in TIME_WAIT. */
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	size_t first;
	bool pending;
	int fd;

	if (mesh == NULL)
		start();
	if (size == 0 || mu_net_connect(addr, &fd, &pending) != 0)
		return 0;
	first = data[0] < size - 1 ? data[0] : size - 1;
	send_piece(fd, data + 1, first);
	send_piece(fd, data + 1 + first, size - 1 - first);
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	(void)close(fd);
	mu_loop_once(loop, 0);
	mu_clock_advance(&clock_now, MU_US_PER_MS);
	return 0;
}
