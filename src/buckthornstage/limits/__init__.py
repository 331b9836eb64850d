"""Admission control, retry budgets, link pacing and the crash guard.

`proxy` uses `admission` and `retry_budget`. The two-hop mesh (`mesh`: a call goes from its egress
to an ingress, and from there to the target) uses `call_times`, `fleet_retry_budget`,
`fair_order`, `ingress_queue`, `link_pacer`, `refused_calls` and `token_bucket`. Both use
`crash_guard`.
"""
