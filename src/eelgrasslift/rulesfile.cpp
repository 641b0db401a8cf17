#include "eelgrasslift/rulesfile.h"

#include <fcntl.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace eelgrasslift {

namespace {

constexpr std::string_view FileName = "accepted-rules";
constexpr size_t DigestBytes = 32;

std::string digestOf(std::string_view payload)
{
    const Sha256 digest = sha256(payload);
    return {digest.begin(), digest.end()};
}

class FileDescriptor
{
public:
    FileDescriptor(const std::filesystem::path &path, int flags)
        : descriptor(::open(path.c_str(), flags, 0640))
    {}
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;
    ~FileDescriptor()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }

    bool write(std::string_view data) const
    {
        while (!data.empty()) {
            const ssize_t written = ::write(this->descriptor, data.data(), data.size());
            if (written <= 0)
                return false;
            data.remove_prefix(static_cast<size_t>(written));
        }
        return true;
    }

    bool sync() const { return this->descriptor >= 0 && ::fsync(this->descriptor) == 0; }

private:
    int descriptor;
};

} // namespace

std::variant<wire::RulesDocument, NoRulesFile, RulesFileError> readRulesFile(const std::string &folder)
{
    const std::filesystem::path path = std::filesystem::path(folder) / FileName;
    std::error_code error;
    if (!std::filesystem::exists(path, error))
        return error ? std::variant<wire::RulesDocument, NoRulesFile, RulesFileError>(
                               RulesFileError::CannotRead)
                     : NoRulesFile{};
    std::ifstream file(path, std::ios::binary);
    const std::string content{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file)
        return RulesFileError::CannotRead;
    wire::RulesDocument rules;
    const bool isValid =
            content.size() > DigestBytes &&
            digestOf(std::string_view(content).substr(DigestBytes)) == content.substr(0, DigestBytes) &&
            rules.ParseFromString(content.substr(DigestBytes));
    if (!isValid)
        return RulesFileError::Corrupted;
    return rules;
}

std::optional<RulesFileError> writeRulesFile(const std::string &folder, const wire::RulesDocument &rules)
{
    const std::filesystem::path directory(folder);
    const std::filesystem::path path = directory / FileName;
    const std::filesystem::path temporary = directory / (std::string(FileName) + ".new");
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    const std::string payload = rules.SerializeAsString();
    {
        const FileDescriptor file(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC);
        if (!file.write(digestOf(payload) + payload) || !file.sync())
            return RulesFileError::CannotWrite;
    }
    std::filesystem::rename(temporary, path, error);
    const FileDescriptor directoryFile(directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (error || !directoryFile.sync())
        return RulesFileError::CannotWrite;
    return std::nullopt;
}

} // namespace eelgrasslift
