"""Admission control, retry budgets, link pacing and the crash guard."""
