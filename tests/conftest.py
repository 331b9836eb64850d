import os

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True, database=None
)
hypothesis.settings.register_profile("dev", deadline=None)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
