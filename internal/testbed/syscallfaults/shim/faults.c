/*
 * A preloaded library that makes a process's system calls fail, be interrupted or transfer only a part, in ways that
 * Linux documents.
 *
 * It installs a seccomp filter on this process alone, which needs no privileges. If the program itself makes one of the
 * calls named below, as a Go program does, the filter raises SIGSYS. The signal handler then makes the call in the
 * program's place, or returns a fault. Calls that the C library makes are not filtered, as it makes some while all
 * signals are blocked. The kinds and rates of faults are read from the environment (see faults.go). Reads, writes and
 * connects are disturbed only on TCP sockets over IPv4, socket calls only if they make a socket for IPv4, and accepts,
 * waits and reads of the wall clock always.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>
#include <elf.h>

/* Makes a system call and returns its raw result: errors are negative error numbers, and errno is not set. */
__asm__(".text\n.globl faults_syscall\n.type faults_syscall,@function\nfaults_syscall:\n"
        "movq %rdi, %rax\nmovq %rsi, %rdi\nmovq %rdx, %rsi\nmovq %rcx, %rdx\nmovq %r8, %r10\nmovq %r9, %r8\n"
        "movq 8(%rsp), %r9\nsyscall\nret\n");
extern long faults_syscall(long number, long a, long b, long c, long d, long e, long f);

static _Atomic uint64_t random_state;
static int permille_short, permille_interrupted, permille_error;
static int64_t clock_step_ns; /* added to the wall clock */
static int64_t clock_step_at; /* monotonic time from which clock_step_ns is added */

/* Returns the next number of a splitmix64 generator. */
static uint64_t draw(void) {
    uint64_t x = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15ull);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

static int chance(int permille) { return permille > 0 && (int)(draw() % 1000) < permille; }

static int is_tcp4(long fd) {
    int domain = 0, type = 0;
    socklen_t size = sizeof domain;
    if (faults_syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_DOMAIN, (long)&domain, (long)&size, 0) < 0 || domain != AF_INET) return 0;
    size = sizeof type;
    return faults_syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_TYPE, (long)&type, (long)&size, 0) >= 0 && type == SOCK_STREAM;
}

static long draw_error(const int *errors, int count) { return -(long)errors[draw() % count]; }

static const int accept_errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EINTR};
static const int socket_errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
static const int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ECONNREFUSED, ETIMEDOUT, ENOBUFS, EAGAIN};
#define DRAW_ERROR(errors) draw_error(errors, sizeof errors / sizeof *errors)

static int64_t nanoseconds(const struct timespec *t) { return t->tv_sec * 1000000000ll + t->tv_nsec; }

/* Makes an intercepted call, or returns a fault in its place. */
static long call_or_fail(long number, greg_t *r) {
    long a = r[REG_RDI], b = r[REG_RSI], c = r[REG_RDX], d = r[REG_R10], e = r[REG_R8], f = r[REG_R9];
    switch (number) {
    case SYS_read:
    case SYS_write:
        if (is_tcp4(a)) {
            if (chance(permille_interrupted)) return -EINTR;
            if (c > 1 && chance(permille_short)) c = 1 + (long)(draw() % (uint64_t)(c < 64 ? c - 1 : 63));
        }
        break;
    case SYS_accept4:
        if (chance(permille_error)) return DRAW_ERROR(accept_errors);
        break;
    case SYS_socket:
        if (a == AF_INET && chance(permille_error)) return DRAW_ERROR(socket_errors);
        break;
    case SYS_connect:
        if (is_tcp4(a) && chance(permille_error)) return DRAW_ERROR(connect_errors);
        break;
    case SYS_epoll_wait:
    case SYS_epoll_pwait:
    case SYS_poll:
        if (chance(permille_interrupted)) return -EINTR;
        break;
    case SYS_clock_gettime: {
        long status = faults_syscall(number, a, b, c, d, e, f);
        if (status == 0 && a == CLOCK_REALTIME) {
            struct timespec now, *wall = (struct timespec *)b;
            faults_syscall(number, CLOCK_MONOTONIC, (long)&now, 0, 0, 0, 0);
            if (nanoseconds(&now) >= clock_step_at) {
                int64_t stepped = nanoseconds(wall) + clock_step_ns;
                wall->tv_sec = stepped / 1000000000ll;
                wall->tv_nsec = stepped % 1000000000ll;
            }
        }
        return status;
    }
    }
    return faults_syscall(number, a, b, c, d, e, f);
}

static void on_sigsys(int signal, siginfo_t *info, void *context) {
    (void)signal;
    ucontext_t *u = context;
    u->uc_mcontext.gregs[REG_RAX] = call_or_fail(info->si_syscall, u->uc_mcontext.gregs);
}

static long setting(const char *name) {
    const char *text = getenv(name);
    return text ? atol(text) : 0;
}

/*
 * Hides the vDSO from the program, so that the program reads the clock through system calls. Reads through the vDSO
 * make no system call and can't be intercepted.
 */
static void hide_vdso(char **envp) {
    while (*envp) envp++;
    for (Elf64_auxv_t *entry = (Elf64_auxv_t *)(envp + 1); entry->a_type != AT_NULL; entry++)
        if (entry->a_type == AT_SYSINFO_EHDR) entry->a_type = AT_IGNORE;
}

#define TRAP(number) BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, number, 0, 1), BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRAP)

__attribute__((constructor)) static void install(int argc, char **argv, char **envp) {
    (void)argc, (void)argv;
    permille_short = (int)setting("FAULTS_SHORT");
    permille_interrupted = (int)setting("FAULTS_INTERRUPTED");
    permille_error = (int)setting("FAULTS_ERRORS");
    clock_step_ns = setting("FAULTS_CLOCK_STEP_MS") * 1000000ll;
    atomic_store(&random_state, (uint64_t)setting("FAULTS_SEED") * 0xd1342543de82ef95ull);
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    clock_step_at = nanoseconds(&now) + setting("FAULTS_CLOCK_STEP_AFTER_MS") * 1000000ll;
    if (clock_step_ns != 0) hide_vdso(envp);

    struct sigaction handler;
    memset(&handler, 0, sizeof handler);
    handler.sa_sigaction = on_sigsys;
    handler.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESTART;
    sigfillset(&handler.sa_mask);
    if (sigaction(SIGSYS, &handler, NULL) != 0) _exit(97);

    uint32_t program_high = (uint32_t)(getauxval(AT_ENTRY) >> 32); /* of the program's addresses, not the libraries' */
    struct sock_filter filter[] = {
        /* The Go runtime installs handlers for all signals. For SIGSYS it is told that this succeeded, but the handler
         * of this library stays. */
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr)),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_rt_sigaction, 0, 3),
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, args)),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SIGSYS, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO),
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer) + 4),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, program_high, 1, 0),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr)),
        TRAP(SYS_read), TRAP(SYS_write), TRAP(SYS_accept4), TRAP(SYS_socket), TRAP(SYS_connect), TRAP(SYS_epoll_wait), TRAP(SYS_epoll_pwait),
        TRAP(SYS_poll), TRAP(SYS_clock_gettime),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
    };
    struct sock_fprog program = {sizeof filter / sizeof *filter, filter};
    if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 || prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) != 0) _exit(98);
}
