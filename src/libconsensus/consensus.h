#pragma once

// Public header of libconsensus: a Raft member as a state machine (RaftNode), its events, actions and
// messages, and durable storage for its log.

#include "libconsensus/events.h"
#include "libconsensus/filelogstorage.h"
#include "libconsensus/logstorage.h"
#include "libconsensus/messages.h"
#include "libconsensus/raftnode.h"
#include "libconsensus/types.h"
