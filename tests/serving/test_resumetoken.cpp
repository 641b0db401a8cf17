#include "libserving/resumetoken.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

// Guards against a caller that reads another caller's generation or forges its position.
TEST_CASE("A resume token is only valid unmodified and for its own account")
{
    const ResumeToken token{"runner-1|x", "gen.7", 42, "kiosk-centre"};
    const std::string text = token.encode("key");
    REQUIRE(std::holds_alternative<ResumeToken>(ResumeToken::decode(text, "kiosk-centre", "key")));
    CHECK(std::get<ResumeToken>(ResumeToken::decode(text, "kiosk-centre", "key")) == token);

    struct Row
    {
        std::string text;
        std::string account;
        std::string key;
        ResumeTokenError error;
    };
    std::string tampered = text;
    tampered[tampered.find('.', tampered.find('.') + 1) + 2] ^= 1;
    const auto row = GENERATE_COPY(
            values<Row>({{text, "kiosk-north", "key", ResumeTokenError::OtherAccount},
                         {text, "kiosk-centre", "other", ResumeTokenError::BadSignature},
                         {tampered, "kiosk-centre", "key", ResumeTokenError::BadSignature},
                         {text + "0", "kiosk-centre", "key", ResumeTokenError::BadSignature},
                         {"", "kiosk-centre", "key", ResumeTokenError::Malformed},
                         {"a.b.c", "kiosk-centre", "key", ResumeTokenError::Malformed},
                         {std::string(5000, '.'), "kiosk-centre", "key", ResumeTokenError::Malformed}}));
    const auto result = ResumeToken::decode(row.text, row.account, row.key);
    REQUIRE(std::holds_alternative<ResumeTokenError>(result));
    CHECK(std::get<ResumeTokenError>(result) == row.error);
}
