/* Lets system calls of one process fail at random, with errors that Linux documents.
 *
 * It is loaded by LD_PRELOAD. Time is divided into windows. A hash of the seed, the call and the window decides whether
 * the call can fail in that window; if so, about half of its calls fail. Windows of different calls may overlap.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define WINDOW_NS 200000000ull
#define BAD_WINDOWS_PER_256 20
#define CONFIGURATION_SUFFIX ".json"

enum call { ACCEPT, CONNECT, SOCKET, OPEN, WAIT, WRITE, READ };

static uint64_t seed;
static uint64_t started_ns;
static uint64_t draws;

static uint64_t now_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000000000ull + (uint64_t)now.tv_nsec;
}

__attribute__((constructor)) static void read_seed(void)
{
    const char *text = getenv("SOAK_FAULTS_SEED");
    seed = text ? strtoull(text, NULL, 10) * 0x9e3779b97f4a7c15ull : 0;
    started_ns = now_ns();
}

static uint64_t mix(uint64_t x)
{
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ull;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

static int fails(enum call call)
{
    if (!seed)
        return 0;
    uint64_t window = (now_ns() - started_ns) / WINDOW_NS;
    if ((mix(seed ^ mix(window * 8 + call)) & 0xff) >= BAD_WINDOWS_PER_256)
        return 0;
    return (int)(mix(seed + ++draws) & 1);
}

static int one_of(const int *errors, size_t count)
{
    errno = errors[mix(seed + ++draws) % count];
    return -1;
}

#define ONE_OF(...) one_of((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))
#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

/* Only network sockets: the log's socket may be a blocking one, on which EAGAIN never occurs. */
static int is_socket(int fd)
{
    int domain;
    socklen_t size = sizeof domain;
    int saved = errno;
    int result = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size);
    errno = saved;
    return result == 0 && domain == AF_INET;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    if (fails(ACCEPT))
        return ONE_OF(ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR);
    return NEXT(accept4)(fd, address, size, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    if (is_socket(fd) && fails(CONNECT))
        return ONE_OF(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, ETIMEDOUT);
    return NEXT(connect)(fd, address, size);
}

int socket(int domain, int type, int protocol)
{
    if ((type & 0xf) == SOCK_STREAM && fails(SOCKET))
        return ONE_OF(ENFILE, ENOBUFS, ENOMEM);
    return NEXT(socket)(domain, type, protocol);
}

static int open_fails(const char *path)
{
    size_t length = strlen(path);
    size_t suffix = strlen(CONFIGURATION_SUFFIX);
    return length > suffix && !strcmp(path + length - suffix, CONFIGURATION_SUFFIX) && fails(OPEN);
}

int open64(const char *path, int flags, ...)
{
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    if (open_fails(path))
        return ONE_OF(ENFILE, EMFILE, ENOMEM, EIO);
    return NEXT(open64)(path, flags, mode);
}

int open(const char *path, int flags, ...)
{
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    if (open_fails(path))
        return ONE_OF(ENFILE, EMFILE, ENOMEM, EIO);
    return NEXT(open)(path, flags, mode);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    if (fails(WAIT))
        return ONE_OF(EINTR);
    return NEXT(epoll_wait)(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask)
{
    if (fails(WAIT))
        return ONE_OF(EINTR);
    return NEXT(epoll_pwait)(fd, events, most, timeout, mask);
}

/* Returns -1 with EAGAIN or EINTR in errno, or 0 and a shortened size. */
static int write_result(size_t size, size_t *shortened)
{
    uint64_t draw = mix(seed + ++draws) % 4;
    *shortened = size > 1 ? 1 + draw * (size - 1) / 4 : size;
    return draw == 3 ? ONE_OF(EAGAIN, EINTR) : 0;
}

ssize_t write(int fd, const void *data, size_t size)
{
    size_t shortened = size;
    if (size && is_socket(fd) && fails(WRITE) && write_result(size, &shortened))
        return -1;
    return NEXT(write)(fd, data, shortened);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    if (count && parts[0].iov_len && is_socket(fd) && fails(WRITE))
        return write(fd, parts[0].iov_base, parts[0].iov_len);
    return NEXT(writev)(fd, parts, count);
}

ssize_t read(int fd, void *data, size_t size)
{
    if (size > 1 && is_socket(fd) && fails(READ)) {
        uint64_t draw = mix(seed + ++draws) % 4;
        if (draw == 3)
            return ONE_OF(EAGAIN, EINTR);
        size = 1 + draw * 40 < size ? 1 + draw * 40 : size;
    }
    ssize_t result = NEXT(read)(fd, data, size);
    if (seed && result < 0 && errno == ECONNRESET)
        return ONE_OF(ECONNRESET, ETIMEDOUT, EHOSTUNREACH);
    return result;
}
