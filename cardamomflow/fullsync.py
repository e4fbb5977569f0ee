"""Contents of a full exchange between two members; pure functions.

A request lists every known record by id, incarnation and state, and the
answer holds only what differs. Whole records on both sides would exceed the
bandwidth of the control plane in a large fleet.
"""

from collections.abc import Mapping, Sequence

from cardamomflow.generated import control_pb2

Records = Sequence[control_pb2.MemberRecord]
RecordsById = Mapping[str, control_pb2.MemberRecord]


def is_digest(record: control_pb2.MemberRecord) -> bool:
    """Tell whether a record only names what its sender knows."""
    return not record.address


def request(own_id: str, records_by_id: RecordsById) -> Records:
    """Return the own record and a digest of every known one."""
    digests = [_digest(record) for record in records_by_id.values()]
    return [records_by_id[own_id], *digests]


def answer(records_by_id: RecordsById, asked: Records) -> Records:
    """Return newer records, and digests of what the asker should send.

    A request without digests hands over records and gets nothing back; an
    empty one gets all records.
    """
    digests_by_id = {
        record.member_id: record for record in asked if is_digest(record)
    }
    if asked and not digests_by_id:
        return []
    found = [
        record
        for member_id, record in records_by_id.items()
        if _version(record) > _version(digests_by_id.get(member_id))
    ]
    for member_id, digest in digests_by_id.items():
        known = records_by_id.get(member_id)
        if _version(digest) > _version(known):
            found.append(control_pb2.MemberRecord(member_id=member_id))
    return found


def wanted(records_by_id: RecordsById, answered: Records) -> Records:
    """Return the records that an answer asks for."""
    return [
        records_by_id[record.member_id]
        for record in answered
        if is_digest(record) and record.member_id in records_by_id
    ]


def _digest(
    record: control_pb2.MemberRecord,
) -> control_pb2.MemberRecord:
    return control_pb2.MemberRecord(
        member_id=record.member_id,
        incarnation=record.incarnation,
        state=record.state,
    )


def _version(record: control_pb2.MemberRecord | None) -> tuple[int, int]:
    return (0, 0) if record is None else (record.incarnation, record.state)
