"""Client requests at the gateway that receives them: authentication, routing and admission.

Owns a request from arrival to answer.  :mod:`tinrudder.gateway.requests.refusals` lists every
reason to refuse one.  An admitted request starts as a run of :mod:`tinrudder.gateway.runs`, or is
delegated to a coordinator by :mod:`tinrudder.gateway.scatters`.
"""
