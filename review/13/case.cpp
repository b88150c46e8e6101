// A part of a prompt crashes each replica that begins to write an answer on it, whatever else the request
// holds: here the requests name several models. MODELS sets their number (8).
#include "../standins-3/engines.hpp"

using namespace review;

int main(int, char** arguments) {
    const char* text = std::getenv("MODELS");
    const int models = text != nullptr ? std::atoi(text) : 8;
    deadly_run run;
    run.deadly = "d00d0001";
    run.make = [&](bool deadly, int number) {
        prompt p;
        p.model = "m" + std::to_string(number / 14 % models);
        p.parts = "5c1e0000:200,";
        if (deadly) p.parts += run.deadly + ":100,";
        char last[32];
        std::snprintf(last, sizeof last, "%08x:40", 0x91000000 + number);
        p.parts += last;
        p.tokens = 240 + (deadly ? 100 : 0);
        return p;
    };
    run_deadly(arguments[1], run);
}
