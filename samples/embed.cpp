#include "pearhaven/decision/configuration.hpp"

#include <iostream>

// Embeds the decision package alone: checks which versions a team may use before and after a
// withdrawal.
int main()
{
    namespace decision = pearhaven::decision;

    decision::team deposits;
    deposits.name = "deposits";
    deposits.versions = decision::selector().require("channel", {"stable"});

    decision::version second;
    second.name = "adjudicator-2";
    second.model = "adjudicator";
    second.tags = {{"channel", "stable"}};

    const auto before =
        decision::configuration_builder().revision(1).add(deposits).add(second).build();
    second.withdrawn = true;
    const auto after =
        decision::configuration_builder().revision(2).add(deposits).add(second).build();

    const bool allowed = before->allows(deposits, *before->find_version("adjudicator-2"));
    const bool refused = !after->allows(deposits, *after->find_version("adjudicator-2"));
    std::cout << "allowed before the withdrawal: " << std::boolalpha << allowed
              << ", refused after it: " << refused << '\n';
    return allowed && refused ? 0 : 1;
}
