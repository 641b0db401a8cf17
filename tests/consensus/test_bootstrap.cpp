#include "libconsensus/consensus.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace eelgrasslift;

namespace {

/// Temporary folder, removed at the end of the test.
struct TemporaryFolder
{
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "eelgrasslift-XXXXXX").string();
        this->path = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(this->path); }
    std::filesystem::path path;
};

} // namespace

// Guards against initial members that form two clusters because their address lists are ordered differently.
TEST_CASE("Initial members derive the same cluster from their addresses in any order", "[bootstrap]")
{
    const std::vector<std::string> addresses{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"};
    const std::vector<std::string> reorderedAddresses{"10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1"};
    const TemporaryFolder first;
    const TemporaryFolder second;
    const auto one = bootstrapCluster(first.path / "data", addresses, addresses[0]);
    const auto two = bootstrapCluster(second.path / "data", reorderedAddresses, addresses[1]);
    REQUIRE(std::holds_alternative<Identity>(one));
    REQUIRE(std::holds_alternative<Identity>(two));
    CHECK(std::get<Identity>(one).clusterId == std::get<Identity>(two).clusterId);
    CHECK(std::get<Identity>(one).memberId != std::get<Identity>(two).memberId);
    const auto opened = FileLogStorage::open(first.path / "data");
    REQUIRE(std::holds_alternative<std::unique_ptr<FileLogStorage>>(opened));
    const RecoveredState &state = std::get<std::unique_ptr<FileLogStorage>>(opened)->recovered();
    REQUIRE(state.entries.size() == 1);
    CHECK(state.entries[0].kind == EntryKind::Membership);
}

// Guards against the loss of a member's stored state by a repeated bootstrap.
TEST_CASE("Bootstrapping does not overwrite a data folder", "[bootstrap]")
{
    const std::vector<std::string> initialMembers{"10.0.0.1:1"};
    const TemporaryFolder folder;
    REQUIRE(std::holds_alternative<Identity>(
            bootstrapCluster(folder.path / "data", initialMembers, initialMembers[0])));
    CHECK(std::holds_alternative<StorageError>(
            bootstrapCluster(folder.path / "data", initialMembers, initialMembers[0])));
}

// Guards against a lost disk that founds a second cluster, and a joining member that is taken for an initial
// one.
TEST_CASE("Only the first start of an initial member bootstraps", "[bootstrap]")
{
    struct Case
    {
        std::string name;
        bool isFirstStart = false;
        std::string ownAddress;
        bool wasJoining = false;
        bool bootstraps = false;
    };
    const auto start = GENERATE(values<Case>({{"first start", true, "10.0.0.1:1", false, true},
                                              {"lost disk", false, "10.0.0.1:1", false, false},
                                              {"not an initial member", true, "10.0.0.9:1", false, false},
                                              {"interrupted joining", false, "10.0.0.1:1", true, false}}));
    CAPTURE(start.name);
    const std::vector<std::string> initialMembers{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"};
    const TemporaryFolder folder;
    const std::filesystem::path data = folder.path / "data";
    if (start.wasJoining) {
        Random random{1};
        REQUIRE(std::holds_alternative<Identity>(prepareJoiningMember(data, random)));
        std::filesystem::rename(data / "identity", data / "initialising");
        std::filesystem::resize_file(data / "initialising", 0);
    }
    const auto result = bootstrapAtStart(data, initialMembers, start.ownAddress, start.isFirstStart);
    REQUIRE(std::holds_alternative<bool>(result));
    CHECK(std::get<bool>(result) == start.bootstraps);
    CHECK(isInitialised(data) == start.bootstraps);
}
