// Index of this file:
// [SECTION] Events

#include "damaskhill_event_stream.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace damaskhill;

BOOST_AUTO_TEST_SUITE(event_stream)

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

// Guards against events that come out otherwise when their bytes come in other pieces.
BOOST_AUTO_TEST_CASE(events_do_not_depend_on_the_pieces) {
    constexpr std::array<std::string_view, 6> corpus{
        "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "\n\n\n\nid: 7\n\n\n",
        "data: id: 9\nid: 10\r\n\ndata: open",  "data: no end of an event\n",
        "id:3\n\ndata: \n\n: comment\n\nid: 4", ""};
    for (const std::string_view text : corpus) {
        std::string whole_rest;
        std::string whole_id;
        const std::string whole = extract_complete_events(whole_rest, text, whole_id);
        for (std::size_t piece = 1; piece <= text.size(); ++piece) {
            for (std::size_t first = 0; first < piece; ++first) {
                std::string rest;
                std::string id;
                std::string events = extract_complete_events(rest, text.substr(0, first), id);
                for (std::size_t at = first; at < text.size(); at += piece)
                    events += extract_complete_events(rest, text.substr(at, piece), id);
                BOOST_TEST(events == whole);
                BOOST_TEST(rest == whole_rest);
                BOOST_TEST(id == whole_id);
            }
        }
    }
}

// Guards against work that grows with the square of an event's size if it comes byte by byte.
BOOST_AUTO_TEST_CASE(each_byte_is_searched_a_bounded_number_of_times) {
    const std::string event = "data: " + std::string(20'000, 'x') + "\n\n";
    std::uint64_t searched = 0;
    std::string rest;
    std::string id;
    std::string events;
    for (const char& byte : event)
        events += extract_complete_events(rest, {&byte, 1}, id, &searched);
    BOOST_TEST(events == event);
    BOOST_TEST(searched <= 2 * event.size());
}

BOOST_AUTO_TEST_SUITE_END()
