#pragma once

// Public header of libconsensus: the Raft aggregate, its events, actions and messages, and log storage.

#include "libconsensus/events.h"
#include "libconsensus/filelogstorage.h"
#include "libconsensus/logstorage.h"
#include "libconsensus/messages.h"
#include "libconsensus/raftnode.h"
#include "libconsensus/types.h"
