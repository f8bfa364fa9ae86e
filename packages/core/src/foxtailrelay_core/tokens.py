"""Bearer tokens, stored only as salted hashes.

A token has the form ``name.secret``::

    salted = tokens.SaltedHash.from_token('desk.s3cret')
    assert salted.matches('desk.s3cret')
"""

from foxtailrelay_core.internal import salted_hash

SaltedHash = salted_hash.SaltedHash
account_name = salted_hash.account_name

__all__ = ['SaltedHash', 'account_name']
