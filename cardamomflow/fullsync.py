"""Contents of a full exchange of records between two members; pure functions.

A request lists a digest of every record: id, incarnation and state. The
answer contains only the differences. Sending all records in both directions
would exceed the bandwidth of the control plane in a large fleet.
"""

from collections.abc import Mapping, Sequence

from cardamomflow.generated import control_pb2

Records = Sequence[control_pb2.MemberRecord]
RecordsById = Mapping[str, control_pb2.MemberRecord]


def is_digest(record: control_pb2.MemberRecord) -> bool:
    """Return whether a record is a digest, which has no address."""
    return not record.address


def build_request(own_id: str, records_by_id: RecordsById) -> Records:
    """Return the own record and a digest of every record."""
    digests = [_digest(record) for record in records_by_id.values()]
    return [records_by_id[own_id], *digests]


def build_answer(records_by_id: RecordsById, requested: Records) -> Records:
    """Return newer records, and digests that request records.

    A request without digests delivers records and gets an empty answer. An
    empty request gets all records.
    """
    digests_by_id = {
        record.member_id: record for record in requested if is_digest(record)
    }
    if requested and not digests_by_id:
        return []
    newer = [
        record
        for member_id, record in records_by_id.items()
        if _version(record) > _version(digests_by_id.get(member_id))
    ]
    for member_id, digest in digests_by_id.items():
        current = records_by_id.get(member_id)
        if _version(digest) > _version(current):
            newer.append(control_pb2.MemberRecord(member_id=member_id))
    return newer


def requested_records(records_by_id: RecordsById, answer: Records) -> Records:
    """Return the records that an answer requests."""
    return [
        records_by_id[record.member_id]
        for record in answer
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
