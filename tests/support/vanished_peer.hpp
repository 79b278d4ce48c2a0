#ifndef PEARHAVEN_TESTS_SUPPORT_VANISHED_PEER_HPP
#define PEARHAVEN_TESTS_SUPPORT_VANISHED_PEER_HPP

#include <linux/filter.h>
#include <sys/socket.h>

namespace pearhaven::tests {

// From now on the socket ignores all that arrives and acknowledges nothing, like a host that has
// lost power.
inline void drop_all_that_arrives(int socket)
{
    sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &drop_all};
    setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

// Ends the effect of `drop_all_that_arrives`.
inline void accept_what_arrives(int socket)
{
    const int unused = 0;
    setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

} // namespace pearhaven::tests

#endif
