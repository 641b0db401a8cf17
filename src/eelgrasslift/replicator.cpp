#include "eelgrasslift/replicator.h"

#include "eelgrasslift/consensuspeers.h"
#include "eelgrasslift/consensusservice.h"

#include <boost/asio/steady_timer.hpp>
#include <grpcpp/grpcpp.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <ctime>
#include <deque>
#include <set>
#include <unordered_map>

namespace eelgrasslift {

namespace {

/// CLOCK_BOOTTIME also counts the time during which the VM is suspended, so a lease expires during a
/// suspension.
TimePoint monotonicNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

// Space in a message for what surrounds a command: indexes, terms and the headers of its entries.
constexpr size_t MessageOverheadBytes = size_t{64} << 10;
// Other services of the same server rely on gRPC's default.
constexpr size_t DefaultMaxMessageBytes = size_t{4} << 20;

std::string describeCluster(const ClusterId &clusterId)
{
    return clusterId == ClusterId{} ? "none" : toHex(clusterId);
}

} // namespace

class Replicator::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(boost::asio::io_context &io, ReplicatedState &state, ReplicatorSettings settings,
                   std::unique_ptr<FileLogStorage> storage)
        : settings(std::move(settings))
        , state(state)
        , storage(std::move(storage))
        , node(raftSettings(this->settings), this->settings.address, this->storage->recovered(),
               this->settings.seed, monotonicNow())
        , executor(std::make_shared<ClosableExecutor>(io))
        , peers(std::make_shared<ConsensusPeers>(this->executor, this->settings.deliverDeadline,
                                                 this->settings.maxCallsPerPeer))
        , timer(io)
    {
        this->storage->releaseRecovered();
    }

    static RaftSettings raftSettings(const ReplicatorSettings &settings)
    {
        RaftSettings result = settings.raft;
        result.joinAddresses = settings.joinAddresses;
        return result;
    }

    /// Size of the largest message: one with the largest command, or with several smaller ones.
    size_t maxMessageBytes() const
    {
        const RaftSettings &raft = this->settings.raft;
        return std::max(DefaultMaxMessageBytes,
                        std::max(raft.maxCommandBytes, raft.maxAppendBytes) + MessageOverheadBytes);
    }

    grpc::Service &grpcService()
    {
        if (!this->service) {
            this->service = std::make_unique<ConsensusService>(
                    this->executor, [self = this->weak_from_this()](raft::Envelope envelope) {
                        if (const auto owner = self.lock())
                            owner->process(raft::Receive{std::move(envelope)});
                    });
        }
        return *this->service;
    }

    void start()
    {
        spdlog::info("consensus member {:x} of cluster {} starts at {}", this->node.id(),
                     describeCluster(this->status().identity.clusterId), this->settings.address);
        for (const raft::Action &action : this->node.start())
            this->execute(action);
        this->scheduleTick();
    }

    void stop()
    {
        if (this->isStopped)
            return;
        this->isStopped = true;
        this->executor->close();
        this->timer.cancel();
        for (auto &[request, callback] : std::exchange(this->callbacks, {}))
            callback(ProposalError{raft::RequestErrorKind::ShutDown, {}});
    }

    template <typename MakeEvent>
    void request(IndexCallback callback, MakeEvent makeEvent)
    {
        if (this->isStopped) {
            callback(ProposalError{raft::RequestErrorKind::ShutDown, {}});
            return;
        }
        const raft::RequestId id = ++this->lastRequest;
        this->callbacks.emplace(id, std::move(callback));
        this->process(makeEvent(id));
    }

    RaftStatus status() const { return this->node.status(monotonicNow()); }
    std::string leaderAddress() const { return this->node.leaderAddress(); }

    std::function<void()> changeCallback;
    std::function<void()> joinRejectedCallback;

private:
    void scheduleTick()
    {
        this->timer.expires_after(this->settings.tickInterval);
        this->timer.async_wait([self = this->weak_from_this()](const boost::system::error_code &error) {
            const auto owner = self.lock();
            if (error || !owner || owner->isStopped)
                return;
            owner->process(raft::Tick{});
            owner->scheduleTick();
        });
    }

    /// Callbacks may cause further events, which are queued until all actions of the current one are
    /// executed.
    void process(raft::Event event)
    {
        this->events.push_back(std::move(event));
        if (this->isProcessing)
            return;
        const auto keepAlive = this->shared_from_this();
        this->isProcessing = true;
        while (!this->events.empty() && !this->isStopped) {
            const raft::Event next = std::move(this->events.front());
            this->events.pop_front();
            for (const raft::Action &action : this->node.handle(next, monotonicNow()))
                this->execute(action);
            this->reportChanges();
        }
        this->isProcessing = false;
    }

    void execute(const raft::Action &action)
    {
        if (executeStorageAction(*this->storage, action))
            return;
        if (const auto *send = std::get_if<raft::Send>(&action)) {
            this->peers->send(send->address, send->envelope);
        } else if (const auto *apply = std::get_if<raft::Apply>(&action)) {
            this->state.apply(apply->index, apply->command);
        } else if (const auto *restore = std::get_if<raft::RestoreState>(&action)) {
            spdlog::info("restoring the control state from the snapshot at index {}",
                         restore->snapshot->index);
            this->state.installSnapshot(restore->snapshot->data);
        } else if (const auto *snapshotRequest = std::get_if<raft::TakeSnapshot>(&action)) {
            this->events.emplace_back(
                    raft::SnapshotTaken{snapshotRequest->index, this->state.takeSnapshot()});
        } else if (const auto *answer = std::get_if<raft::Answer>(&action)) {
            this->answer(*answer);
        } else if (std::holds_alternative<raft::JoinRejected>(action)) {
            spdlog::error("the cluster at the join addresses is not cluster {} of this data folder",
                          describeCluster(this->status().identity.clusterId));
            if (this->joinRejectedCallback)
                this->joinRejectedCallback();
        }
    }

    void answer(const raft::Answer &answer)
    {
        const auto found = this->callbacks.find(answer.request);
        if (found == this->callbacks.end())
            return;
        const IndexCallback callback = std::move(found->second);
        this->callbacks.erase(found);
        callback(answer.result);
    }

    void reportChanges()
    {
        const ReportedStatus current{this->node.role(), this->node.term(), this->node.leaderId(),
                                     this->node.log().membershipIndex()};
        if (current == this->reportedStatus)
            return;
        if (current.membershipIndex != this->reportedStatus.membershipIndex)
            this->closeUnusedChannels();
        this->reportedStatus = current;
        spdlog::info("consensus role {}, term {}, leader {}", toString(this->node.role()), this->node.term(),
                     this->leaderAddress());
        if (this->changeCallback)
            this->changeCallback();
    }

    void closeUnusedChannels()
    {
        std::set<std::string> used{this->settings.joinAddresses.begin(), this->settings.joinAddresses.end()};
        for (const auto &[id, member] : this->node.log().membership())
            used.insert(member.address);
        this->peers->keepOnly(used);
    }

    struct ReportedStatus
    {
        RaftRole role = RaftRole::Learner;
        Term term = 0;
        MemberId leader = 0;
        LogIndex membershipIndex = 0;
        bool operator==(const ReportedStatus &) const = default;
    };

    ReplicatorSettings settings;
    ReplicatedState &state;
    std::unique_ptr<FileLogStorage> storage;
    RaftNode node;
    std::shared_ptr<ClosableExecutor> executor;
    std::shared_ptr<ConsensusPeers> peers;
    std::unique_ptr<ConsensusService> service;
    boost::asio::steady_timer timer;
    std::deque<raft::Event> events;
    std::unordered_map<raft::RequestId, IndexCallback> callbacks;
    raft::RequestId lastRequest = 0;
    bool isProcessing = false;
    bool isStopped = false;
    ReportedStatus reportedStatus;
};

Replicator::Replicator(std::shared_ptr<Implementation> shared)
    : implementation(std::move(shared))
{}

Replicator::~Replicator()
{
    this->stop();
}

Result<std::unique_ptr<Replicator>, StorageError>
Replicator::open(boost::asio::io_context &io, ReplicatedState &state, ReplicatorSettings settings)
{
    if (!isInitialised(settings.dataFolder) && !settings.joinAddresses.empty()) {
        Random random{settings.seed};
        auto prepared = prepareJoiningMember(settings.dataFolder, random);
        if (const auto *error = std::get_if<StorageError>(&prepared))
            return *error;
    }
    auto opened = FileLogStorage::open(settings.dataFolder);
    if (const auto *error = std::get_if<StorageError>(&opened))
        return *error;
    auto &storage = std::get<std::unique_ptr<FileLogStorage>>(opened);
    if (!storage->recovered().identity.hasCluster() && settings.joinAddresses.empty())
        return StorageError{StorageErrorKind::NotInitialised, settings.dataFolder,
                            "the member has not joined a cluster yet and has no join address"};
    return std::unique_ptr<Replicator>(new Replicator(
            std::make_shared<Implementation>(io, state, std::move(settings), std::move(storage))));
}

void Replicator::addService(grpc::ServerBuilder &builder)
{
    builder.RegisterService(&this->implementation->grpcService());
    builder.SetMaxReceiveMessageSize(static_cast<int>(this->implementation->maxMessageBytes()));
}

void Replicator::start()
{
    this->implementation->start();
}

void Replicator::stop()
{
    this->implementation->stop();
}

void Replicator::propose(std::string command, IndexCallback callback)
{
    this->implementation->request(std::move(callback), [&](raft::RequestId id) {
        return raft::Propose{id, std::move(command)};
    });
}

void Replicator::confirmLeadership(IndexCallback callback)
{
    this->implementation->request(std::move(callback),
                                  [](raft::RequestId id) { return raft::ConfirmLeadership{id}; });
}

void Replicator::addMember(MemberId id, std::string address, IndexCallback callback)
{
    this->implementation->request(std::move(callback), [&](raft::RequestId request) {
        return raft::ChangeMembership{request, raft::AddLearner{id, std::move(address)}};
    });
}

void Replicator::promote(MemberId id, IndexCallback callback)
{
    this->implementation->request(std::move(callback), [&](raft::RequestId request) {
        return raft::ChangeMembership{request, raft::PromoteLearner{id}};
    });
}

void Replicator::removeMember(MemberId id, IndexCallback callback)
{
    this->implementation->request(std::move(callback), [&](raft::RequestId request) {
        return raft::ChangeMembership{request, raft::RemoveMember{id}};
    });
}

void Replicator::transferLeadership(MemberId target, IndexCallback callback)
{
    this->implementation->request(std::move(callback), [&](raft::RequestId request) {
        return raft::TransferLeadership{request, target};
    });
}

std::string Replicator::leaderAddress() const
{
    return this->implementation->leaderAddress();
}

RaftStatus Replicator::status() const
{
    return this->implementation->status();
}

void Replicator::onChange(std::function<void()> callback)
{
    this->implementation->changeCallback = std::move(callback);
}

void Replicator::onJoinRejected(std::function<void()> callback)
{
    this->implementation->joinRejectedCallback = std::move(callback);
}

} // namespace eelgrasslift
