"""Admission, retry budgets and the crash guard."""
