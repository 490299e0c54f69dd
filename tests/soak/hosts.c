/* Runs the daemons and the stand-in as processes. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

/* Ports of a daemon, as offsets from its base port. */
#define CALLERS_PORT 0
#define READY_PORT 1
#define PEER_PORT 2
#define METRICS_PORT 3
#define HOST_PORTS 100 /* offset of the base port from the soak's port */
#define CORES "0.25"
/** So few cores that a leader sends its orders through relays. */
#define CORES_WEAK "0.005"

void
soak_host_addr(int i, char buf[32])
{
	snprintf(buf, 32, "127.0.0.%d", 30 + i);
}

static void
write_settings(struct soak *s, int i, const char *path)
{
	char addr[32];
	int base = s->port + HOST_PORTS;
	FILE *f = fopen(path, "w");

	if (f == NULL)
		abort();
	soak_host_addr(i, addr);
	fprintf(f,
	    "host: e%d\nzone: z%d\naddr: %s\ncallers: %s:%d\n"
	    "readiness: %s:%d\nstore: 127.0.0.1:%d\nadvice: 127.0.0.1:%d\n"
	    "key: soak-key-of-the-cell\npeer_port: %d\nmetrics_port: %d\n"
	    "max_hold_ms: 10000\nstop_grace_ms: 400\ncores: %s\n",
	    i, i % 3, addr, addr, base + CALLERS_PORT, addr, base + READY_PORT,
	    s->port + 60 + i, s->port + 1, base + PEER_PORT,
	    base + METRICS_PORT, s->relays ? CORES_WEAK : CORES);
	fclose(f);
}

static pid_t
launch(const char *log, char *const argv[])
{
	pid_t pid = fork();
	int fd;

	if (pid != 0)
		return pid;
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(argv[0], argv);
	_exit(127);
}

void
host_start(struct soak *s, int i)
{
	char program[512], path[512], log[512];
	char *argv[] = {program, "--cell", "-c", path, NULL};

	snprintf(program, sizeof(program), "%s/celerycartd", s->bin);
	snprintf(path, sizeof(path), "%s/e%d.yaml", s->dir, i);
	snprintf(log, sizeof(log), "%s/e%d.log", s->dir, i);
	write_settings(s, i, path);
	s->hosts[i] = launch(log, argv);
	s->paused[i] = false;
}

void
host_signal(struct soak *s, int i, int sig)
{
	if (s->hosts[i] == 0)
		return;
	kill(s->hosts[i], sig);
	if (sig == SIGSTOP || sig == SIGCONT)
		s->paused[i] = sig == SIGSTOP;
	if (sig != SIGKILL)
		return;
	waitpid(s->hosts[i], NULL, 0);
	s->hosts[i] = 0;
}

void
hosts_start(struct soak *s)
{
	char program[512], log[512], port[16], runners[16];
	char *argv[] = {program, port, runners, NULL};
	int i;

	snprintf(program, sizeof(program), "%s/cellstandin", s->bin);
	snprintf(log, sizeof(log), "%s/standin.log", s->dir);
	snprintf(port, sizeof(port), "%d", s->port);
	snprintf(runners, sizeof(runners), "%d", SOAK_RUNNERS);
	s->standin = launch(log, argv);
	usleep(200000);
	for (i = 0; i < s->nhosts; i++) {
		s->proxies[i] = proxy_new(
		    s->base, (uint16_t)(s->port + 60 + i), (uint16_t)s->port);
		if (s->proxies[i] == NULL) {
			fprintf(stderr, "soak: port %d is taken\n",
			    s->port + 60 + i);
			exit(2);
		}
		host_start(s, i);
	}
}

void
hosts_end(struct soak *s)
{
	int i;

	for (i = 0; i < s->nhosts; i++) {
		if (s->hosts[i] != 0)
			host_signal(s, i, SIGKILL);
		if (s->proxies[i] != NULL)
			proxy_delete(s->proxies[i]);
	}
	kill(s->standin, SIGKILL);
	waitpid(s->standin, NULL, 0);
}
